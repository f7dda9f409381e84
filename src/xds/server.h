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

class AdsService;

/// gRPC serves the streams on threads of its own; the view reaches them as a snapshot, and nothing comes back
/// but counts.
class Server {
public:
    /// Throws std::runtime_error where `listen` cannot be bound.
    Server(event_base* base, const Address& listen, const Limits& limits, Counters& counters,
           std::function<std::vector<NodeStatus>()> view);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

private:
    void publishSnapshot();

    const Limits& limits_;
    Counters& counters_;
    std::function<std::vector<NodeStatus>()> getNodeStatuses_;
    std::unique_ptr<AdsService> streams_;
    Timer publishTimer_;
};

}  // namespace martencove::xds
