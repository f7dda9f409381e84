// Assigns pieces of data to the weighted holders of a shard by weighted rendezvous hashing. All hosts compute
// the same assignment without communication. When holders or weights change, only the pieces of the holders
// concerned move.
#pragma once

#include <cmath>
#include <cstdint>

#include "state.h"

namespace limedrum {

/// Returns the cell of a weighted holder: a number below -1, which no shard has; -1 means no cell.
inline CellId holderCellId(NodeId node) { return -2 - static_cast<CellId>(node & 0x3fffffffffffffffULL); }

/// Returns a holder's score for a piece, which is not negative. The piece belongs to the holder with the
/// highest score. Of many pieces each holder gets a share in proportion to its weight.
inline double rendezvousScore(std::uint64_t piece, NodeId holder, double weight) {
    return -weight / std::log(Random(piece ^ (holder * 0x9e3779b97f4a7c15ULL)).uniform());
}

}  // namespace limedrum
