// Reads the storage nodes from etcd. Each node has a key under a prefix, whose value is an entry in the
// format of the discovery service. A range request reads the whole list; a watch from the next revision reads
// the changes.
#pragma once

#include <functional>
#include <map>

#include "config/operator.h"
#include "core/backoff.h"
#include "core/counters.h"
#include "core/limits.h"
#include "core/values.h"
#include "net/address.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove::etcd {

/// Keeps the node list up to date and reports its changes. Requests again after failures, with a backoff.
class NodeSource {
public:
    /// `onNodesChanged` gets a snapshot first, then lists of changed nodes.
    NodeSource(event_base* base, EtcdConfig config, std::uint64_t seed, const Limits& limits,
               Counters& counters, Log& log, std::function<void(const NodeList&)> onNodesChanged);
    NodeSource(const NodeSource&) = delete;
    NodeSource& operator=(const NodeSource&) = delete;

private:
    static void onChunk(evhttp_request* request, void* self);
    static void onRequestDone(evhttp_request* request, void* self);
    void sendRequest();
    void handleRangeResponse();
    void handleWatchMessages();
    /// Applies and reports an update. `isSnapshot`: nodes that are not in it are gone.
    void applyUpdate(const struct Update& update, bool isSnapshot);
    void rejectResponse(const std::string& reason);
    void scheduleRequest(double delayMs);

    event_base* base_;
    EtcdConfig config_;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    std::function<void(const NodeList&)> onNodesChanged_;
    LibeventPtr<evhttp_connection> connection_;
    std::map<std::string, NodeEntry> nodesByKey_;  // by etcd key
    std::int64_t revision_ = 0;                    // of the last update; 0: a snapshot is needed
    bool isWatchRequest_ = false;                  // the current request is a watch
    std::string responseBuffer_;                   // unhandled part of the current response
    Backoff backoff_;                              // between failed requests
    Timer requestTimer_;
    Timer responseTimer_;
};

}  // namespace martencove::etcd
