// Which of a shard's holders a piece of data belongs to: weighted rendezvous hashing. Each host works it out
// alone and finds the same. Between two lists only those pieces move that a change of members or weights
// makes move.
#pragma once

#include <cmath>
#include <cstdint>

#include "state.h"

namespace limedrum {

/// A weighted holder's own cell. No shard has such a number, and -1 stays free for none.
inline CellId holderCellId(NodeId node) { return -2 - static_cast<CellId>(node & 0x3fffffffffffffffULL); }

/// A holder's claim on a piece, from 0 up; the largest has it. Of many pieces each holder has its weight's
/// part.
inline double rendezvousScore(std::uint64_t piece, NodeId holder, double weight) {
    return -weight / std::log(Random(piece ^ (holder * 0x9e3779b97f4a7c15ULL)).uniform());
}

}  // namespace limedrum
