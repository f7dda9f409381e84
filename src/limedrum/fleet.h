// The tables of nodes and cells and the relation between them. The decisions are made in Scheduler::Impl
// (src/limedrum/scheduler_impl.h).
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "rendezvous.h"
#include "state.h"

namespace limedrum {

/// The nodes of the list and the cells that they hold or that have requests.
struct Fleet {
    std::unordered_map<NodeId, Node> nodes;
    std::unordered_map<CellId, Cell> cells;
    std::map<int, std::vector<Node*>> weightedHolders;  // by shard
    std::vector<Cell*> cellsWithHolders;  // unordered, so that a random one is found in constant time
    std::set<CellId> cellsInRounds;       // cells that a round's end may change; it skips all others
    std::set<CellId> cellsWithWork;       // cells with requests queued or attempts in flight
    std::set<NodeId> goneNodes;           // to be erased once they have nothing in flight

    /// Returns the cells with holders, ordered by id.
    std::vector<Cell*> cellsById() const {
        std::vector<Cell*> sorted = cellsWithHolders;
        std::sort(sorted.begin(), sorted.end(), [](const Cell* a, const Cell* b) { return a->id < b->id; });
        return sorted;
    }
    /// Returns all nodes, ordered by id.
    std::vector<const Node*> nodesById() const {
        std::vector<const Node*> sorted;
        for (const auto& [id, node] : nodes) sorted.push_back(&node);
        std::sort(sorted.begin(), sorted.end(), [](const Node* a, const Node* b) { return a->id < b->id; });
        return sorted;
    }
    /// Returns the cell, creating it if needed, and includes it in rounds until dropIdleCells() drops it. All
    /// changes to cells must go through here, so that no cell without holders stays in the table for good.
    Cell& cellForUpdate(CellId id) {
        Cell& cell = findOrCreateCell(id);
        if (!cell.inRounds) cellsInRounds.insert(id);
        cell.inRounds = true;
        return cell;
    }

    /// Adds or updates a node as the node list describes it, except for its start time.
    Node& upsertNode(const NodeEntry& entry) {
        Node& node = nodes[entry.node];
        const CellId cellId = entry.weight > 0 ? holderCellId(entry.node) : entry.shard;
        if (node.inCellHolders && (node.cell != cellId || node.shard != entry.shard)) detachHolder(node);
        node.id = entry.node;
        node.cell = cellId;
        node.shard = entry.shard;
        node.weight = entry.weight;
        node.zone = entry.zone;
        node.state = entry.state;
        if (!node.inCellHolders) attachHolder(node);
        if (node.state == NodeState::gone) goneNodes.insert(node.id);
        return node;
    }

    /// Marks all nodes as gone. Those in a full list are added again; those left out of it remain gone.
    void markAllGone() {
        for (auto& [id, n] : nodes) {
            n.state = NodeState::gone;
            goneNodes.insert(id);
        }
    }

    /// Erases nodes that are gone and have no attempts in flight.
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

    /// Excludes cells from rounds that the end of another round would not change, and erases those of them
    /// that have no holders.
    void dropIdleCells() {
        std::erase_if(cellsInRounds, [&](CellId id) {
            Cell& c = cells.at(id);
            const auto wasOverloaded = [](const Node* n) { return n->overloadMsLastRound > 0; };
            if (!c.isUnaffectedByRounds() || cellsWithWork.contains(id) ||
                std::any_of(c.holders.begin(), c.holders.end(), wasOverloaded))
                return false;
            c.inRounds = false;
            if (c.holders.empty()) cells.erase(id);
            return true;
        });
    }

    /// Adds the request to the queue of its cell, unless it is there.
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
    /// Moves a request to the queue of another cell.
    void moveToCell(Request& r, CellId to) {
        dequeue(r);
        r.cell = to;
        r.blockingBudget.reset();  // it may have been the budget of the previous node
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
            cellForUpdate(n.cell);  // so that dropIdleCells() erases it once it has no work
        }
        const auto holders = weightedHolders.find(n.shard);
        if (holders == weightedHolders.end()) return;
        std::erase(holders->second, &n);
        if (holders->second.empty()) weightedHolders.erase(holders);
    }
};

}  // namespace limedrum
