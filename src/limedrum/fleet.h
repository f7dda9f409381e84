// The tables of nodes and cells, and who holds what. No decisions: src/limedrum/scheduler_impl.h has them.
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "spread.h"
#include "state.h"

namespace limedrum {

struct Fleet {
    std::unordered_map<NodeId, Node> nodes;
    std::unordered_map<CellId, Cell> cells;
    std::map<int, std::vector<Node*>> spreads;  // by shard: its weighted holders
    std::vector<Cell*> open;                    // cells with holders, in no order: one is drawn in one step
    std::set<CellId> live;                      // cells that a round may change: all others it passes over
    std::set<CellId> active;                    // cells with work held or out
    std::set<NodeId> gone;                      // nodes to be forgotten

    /// The cells with holders, by their numbers.
    std::vector<Cell*> inOrder() const {
        std::vector<Cell*> out = open;
        std::sort(out.begin(), out.end(), [](const Cell* a, const Cell* b) { return a->id < b->id; });
        return out;
    }
    std::vector<const Node*> nodesInOrder() const {
        std::vector<const Node*> out;
        for (const auto& [id, n] : nodes) out.push_back(&n);
        std::sort(out.begin(), out.end(), [](const Node* a, const Node* b) { return a->id < b->id; });
        return out;
    }
    /// The cell, made where it is not there. From now on rounds look at it, until it rests: whatever asks for
    /// a cell comes through here, so that none is left behind. (A holder's own goes when its holder goes.)
    Cell& touch(CellId id) {
        Cell& c = cellOf(id);
        if (!c.live) live.insert(id);
        c.live = true;
        return c;
    }

    /// Takes a node into the table as the list has it.
    Node& list(const NodeEntry& entry) {
        Node& n = nodes[entry.node];
        const CellId cell = entry.weight > 0 ? laneOf(entry.node) : entry.cell;
        if (n.held && (n.cell != cell || n.shard != entry.cell)) letGo(n);
        n.id = entry.node;
        n.cell = cell;
        n.shard = entry.cell;
        n.weight = entry.weight;
        n.zone = entry.zone;
        n.state = entry.state;
        if (!n.held) hold(n);
        if (n.state == NodeState::gone) gone.insert(n.id);
        return n;
    }

    /// Left out of a whole list.
    void allGone() {
        for (auto& [id, n] : nodes) {
            n.state = NodeState::gone;
            gone.insert(id);
        }
    }

    /// Forgets nodes that are gone and have nothing out.
    void forgetGone() {
        std::erase_if(gone, [this](NodeId id) {
            Node& n = nodes.at(id);
            if (n.state == NodeState::gone && n.outCount > 0) return false;
            if (n.state == NodeState::gone) {
                letGo(n);
                nodes.erase(id);
            }
            return true;
        });
    }

    /// Drops from `live` what another round would not change, and what stood for a holder that is no more.
    void rest() {
        std::erase_if(live, [&](CellId id) {
            Cell& c = cells.at(id);
            const auto pressed = [](const Node* n) { return n->lastPressedMs > 0; };
            if (!c.idle() || active.contains(id) || std::any_of(c.holders.begin(), c.holders.end(), pressed))
                return false;
            c.live = false;
            if (c.holders.empty()) cells.erase(id);
            return true;
        });
    }

    void enqueue(Request& r) {
        if (r.queued) return;
        r.queued = true;
        Cell& c = touch(r.cell);
        c.queue.emplace(r.dueMs, r.told.id);
        c.queuedUnits += r.told.units;
        active.insert(r.cell);
    }
    void dequeue(Request& r) {
        if (!r.queued) return;
        r.queued = false;
        Cell& c = cells.at(r.cell);
        c.queue.erase({r.dueMs, r.told.id});
        c.queuedUnits = c.queue.empty() ? 0 : c.queuedUnits - r.told.units;
    }
    void move(Request& r, CellId to) {
        dequeue(r);
        r.cell = to;
        r.shortOf.reset();  // what held it was the other holder's
        enqueue(r);
    }

private:
    Cell& cellOf(CellId id) {
        Cell& c = cells[id];
        c.id = id;
        return c;
    }

    void hold(Node& n) {
        n.held = true;
        Cell& c = cellOf(n.cell);
        if (c.holders.empty()) {
            c.place = open.size();
            open.push_back(&c);
        }
        c.holders.push_back(&n);
        if (n.weight > 0) spreads[n.shard].push_back(&n);
    }

    void letGo(Node& n) {
        n.held = false;
        Cell& c = cells.at(n.cell);
        std::erase(c.holders, &n);
        if (c.holders.empty()) {
            open[c.place] = open.back();
            open[c.place]->place = c.place;
            open.pop_back();
            touch(n.cell);  // rest() drops it, once nothing waits there
        }
        const auto at = spreads.find(n.shard);
        if (at == spreads.end()) return;
        std::erase(at->second, &n);
        if (at->second.empty()) spreads.erase(at);
    }
};

}  // namespace limedrum
