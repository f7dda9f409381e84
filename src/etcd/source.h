// Storage nodes from etcd: one key for each under a prefix, its value an entry as discovery would write it. A
// range brings the whole list, then a watch from the next revision brings each change.
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

class NodeSource {
public:
    NodeSource(event_base* base, EtcdConfig config, std::uint64_t seed, const Limits& limits,
               Counters& counters, Log& log, std::function<void(const NodeList&)> told);
    NodeSource(const NodeSource&) = delete;
    NodeSource& operator=(const NodeSource&) = delete;

private:
    static void onChunk(evhttp_request* request, void* self);
    static void onRequestDone(evhttp_request* request, void* self);
    void sendRequest();
    void handleRangeResponse();
    void handleWatchMessages();
    /// Tells a change; `whole`: all there is, and what is not among it is gone.
    void applyUpdate(const struct Update& update, bool whole);
    void rejectResponse(const std::string& why);
    void scheduleRequest(double afterMs);

    event_base* base_;
    EtcdConfig config_;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    std::function<void(const NodeList&)> onNodesChanged_;
    LibeventPtr<evhttp_connection> connection_;
    std::map<std::string, NodeEntry> nodesByKey_;  // by key
    std::int64_t revision_ = 0;                    // of the last change told; 0: the whole list is needed
    bool isWatchRequest_ = false;                  // the present call is a watch
    std::string responseBuffer_;                   // of the present call's answer
    Backoff backoff_;                              // between failed calls
    Timer requestTimer_;
    Timer responseTimer_;
};

}  // namespace martencove::etcd
