// Hands the module's view of the storage nodes to other proxies: endpoints (EDS) over one aggregated stream
// (ADS). A cluster is a shard, by the name "shard-N".
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/counters.h"
#include "core/limits.h"
#include "core/values.h"
#include "net/address.h"
#include "net/loop.h"

namespace martencove::xds {

class Streams;

/// gRPC serves the streams on threads of its own; the view reaches them as a snapshot, and nothing comes back
/// but counts.
class Server {
public:
    /// Throws std::runtime_error where `listen` cannot be bound.
    Server(event_base* base, const Address& listen, const Limits& limits, Counters& counters,
           std::function<std::vector<NodeView>()> view);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

private:
    void look();

    const Limits& limits_;
    Counters& counters_;
    std::function<std::vector<NodeView>()> view_;
    std::unique_ptr<Streams> streams_;
    Timer look_;
};

}  // namespace martencove::xds
