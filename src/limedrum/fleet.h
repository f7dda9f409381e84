// The tables of nodes and cells, and who holds what. No decisions: src/limedrum/scheduler_impl.h has them.
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "rendezvous.h"
#include "state.h"

namespace limedrum {

struct Fleet {
    std::unordered_map<NodeId, Node> nodes;
    std::unordered_map<CellId, Cell> cells;
    std::map<int, std::vector<Node*>> weightedHolders;  // by shard: its weighted holders
    std::vector<Cell*> cellsWithHolders;  // cells with holders, in no order: one is drawn in one step
    std::set<CellId> cellsInRounds;       // cells that a round may change: all others it passes over
    std::set<CellId> cellsWithWork;       // cells with work held or out
    std::set<NodeId> goneNodes;           // nodes to be forgotten

    /// The cells with holders, by their numbers.
    std::vector<Cell*> cellsById() const {
        std::vector<Cell*> out = cellsWithHolders;
        std::sort(out.begin(), out.end(), [](const Cell* a, const Cell* b) { return a->id < b->id; });
        return out;
    }
    std::vector<const Node*> nodesById() const {
        std::vector<const Node*> out;
        for (const auto& [id, n] : nodes) out.push_back(&n);
        std::sort(out.begin(), out.end(), [](const Node* a, const Node* b) { return a->id < b->id; });
        return out;
    }
    /// The cell, made where it is not there. From now on rounds look at it, until it rests: whatever asks for
    /// a cell comes through here, so that none is left behind. (A holder's own goes when its holder goes.)
    Cell& cellForUpdate(CellId id) {
        Cell& c = findOrCreateCell(id);
        if (!c.inRounds) cellsInRounds.insert(id);
        c.inRounds = true;
        return c;
    }

    /// Takes a node into the table as the list has it.
    Node& upsertNode(const NodeEntry& entry) {
        Node& n = nodes[entry.node];
        const CellId cell = entry.weight > 0 ? holderCellId(entry.node) : entry.shard;
        if (n.inCellHolders && (n.cell != cell || n.shard != entry.shard)) detachHolder(n);
        n.id = entry.node;
        n.cell = cell;
        n.shard = entry.shard;
        n.weight = entry.weight;
        n.zone = entry.zone;
        n.state = entry.state;
        if (!n.inCellHolders) attachHolder(n);
        if (n.state == NodeState::gone) goneNodes.insert(n.id);
        return n;
    }

    /// Left out of a whole list.
    void markAllGone() {
        for (auto& [id, n] : nodes) {
            n.state = NodeState::gone;
            goneNodes.insert(id);
        }
    }

    /// Forgets nodes that are gone and have nothing out.
    void eraseGoneNodes() {
        std::erase_if(goneNodes, [this](NodeId id) {
            Node& n = nodes.at(id);
            if (n.state == NodeState::gone && n.attemptsInFlight > 0) return false;
            if (n.state == NodeState::gone) {
                detachHolder(n);
                nodes.erase(id);
            }
            return true;
        });
    }

    /// Drops from `live` what another round would not change, and what stood for a holder that is no more.
    void dropIdleCells() {
        std::erase_if(cellsInRounds, [&](CellId id) {
            Cell& c = cells.at(id);
            const auto pressed = [](const Node* n) { return n->overloadMsLastRound > 0; };
            if (!c.isIdle() || cellsWithWork.contains(id) ||
                std::any_of(c.holders.begin(), c.holders.end(), pressed))
                return false;
            c.inRounds = false;
            if (c.holders.empty()) cells.erase(id);
            return true;
        });
    }

    void enqueue(Request& r) {
        if (r.queued) return;
        r.queued = true;
        Cell& c = cellForUpdate(r.cell);
        c.queue.emplace(r.dueMs, r.spec.id);
        c.queuedUnits += r.spec.units;
        cellsWithWork.insert(r.cell);
    }
    void dequeue(Request& r) {
        if (!r.queued) return;
        r.queued = false;
        Cell& c = cells.at(r.cell);
        c.queue.erase({r.dueMs, r.spec.id});
        c.queuedUnits = c.queue.empty() ? 0 : c.queuedUnits - r.spec.units;
    }
    void moveToCell(Request& r, CellId to) {
        dequeue(r);
        r.cell = to;
        r.blockingBudget.reset();  // what held it was the other holder's
        enqueue(r);
    }

private:
    Cell& findOrCreateCell(CellId id) {
        Cell& c = cells[id];
        c.id = id;
        return c;
    }

    void attachHolder(Node& n) {
        n.inCellHolders = true;
        Cell& c = findOrCreateCell(n.cell);
        if (c.holders.empty()) {
            c.cellsWithHoldersIndex = cellsWithHolders.size();
            cellsWithHolders.push_back(&c);
        }
        c.holders.push_back(&n);
        if (n.weight > 0) weightedHolders[n.shard].push_back(&n);
    }

    void detachHolder(Node& n) {
        n.inCellHolders = false;
        Cell& c = cells.at(n.cell);
        std::erase(c.holders, &n);
        if (c.holders.empty()) {
            cellsWithHolders[c.cellsWithHoldersIndex] = cellsWithHolders.back();
            cellsWithHolders[c.cellsWithHoldersIndex]->cellsWithHoldersIndex = c.cellsWithHoldersIndex;
            cellsWithHolders.pop_back();
            cellForUpdate(n.cell);  // rest() drops it, once nothing waits there
        }
        const auto at = weightedHolders.find(n.shard);
        if (at == weightedHolders.end()) return;
        std::erase(at->second, &n);
        if (at->second.empty()) weightedHolders.erase(at);
    }
};

}  // namespace limedrum
