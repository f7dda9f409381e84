// xDS server that offers the state of the storage nodes to other proxies: endpoints (EDS) over the aggregated
// discovery service (ADS). Each shard is a cluster named "shard-N".
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

/// Publishes a snapshot of the node states at an interval. gRPC serves the streams on its own threads, which
/// read the snapshots and return only counters.
class Server {
public:
    /// Listens on `listen` and reads the node states from `getNodeStatuses`. Throws std::runtime_error if the
    /// address cannot be bound.
    Server(event_base* base, const Address& listen, const Limits& limits, Counters& counters,
           std::function<std::vector<NodeStatus>()> getNodeStatuses);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

private:
    void publishSnapshot();

    const Limits& limits_;
    Counters& counters_;
    std::function<std::vector<NodeStatus>()> getNodeStatuses_;
    std::unique_ptr<AdsService> service_;
    Timer publishTimer_;
};

}  // namespace martencove::xds
