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

class Source {
public:
    Source(event_base* base, EtcdConfig config, std::uint64_t seed, const Limits& limits, Counters& counters,
           Log& log, std::function<void(const NodeList&)> told);
    Source(const Source&) = delete;
    Source& operator=(const Source&) = delete;

private:
    static void piece(evhttp_request* request, void* self);
    static void over(evhttp_request* request, void* self);
    void call();
    void takeRange();
    void takeWatched();
    /// Tells a change; `whole`: all there is, and what is not among it is gone.
    void tell(const struct Update& update, bool whole);
    void ignore(const std::string& why);
    void again(double afterMs);

    event_base* base_;
    EtcdConfig config_;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    std::function<void(const NodeList&)> told_;
    Owned<evhttp_connection> connection_;
    std::map<std::string, NodeEntry> nodes_;  // by key
    std::int64_t revision_ = 0;               // of the last change told; 0: the whole list is needed
    bool watching_ = false;                   // the present call is a watch
    std::string pending_;                     // of the present call's answer
    Backoff rest_;                            // between failed calls
    Timer next_;
    Timer quiet_;
};

}  // namespace martencove::etcd
