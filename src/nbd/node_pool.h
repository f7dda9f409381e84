// Commands to storage nodes that speak NBD, on connections that are kept and used again.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/counters.h"
#include "core/limits.h"
#include "core/values.h"
#include "nbd/codec.h"
#include "net/address.h"
#include "net/loop.h"

namespace martencove::nbd {

struct Work {
    std::string exportName;
    bool write = false;
    std::uint64_t offset = 0;
    std::uint32_t length = 0;
    std::string data;  ///< of a write
};
struct Result {
    Ending ending = Ending::broken;
    std::string data;  ///< of a read
};

class Link;
class Pool;

/// A command on its way. Letting go of it gives it up and closes its connection.
class Exchange {
public:
    Exchange(std::unique_ptr<Link> link, Pool& pool);
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

private:
    friend class Pool;
    std::unique_ptr<Link> link_;
    Pool& pool_;
};

class Pool {
public:
    using Done = std::function<void(Result)>;

    Pool(event_base* base, const Clock& clock, const Limits& limits, Counters& counters);
    ~Pool();
    Pool(const Pool&) = delete;
    Pool& operator=(const Pool&) = delete;

    /// `done` is called once, from the loop, unless the exchange is let go first. Nothing where no more
    /// connections are allowed.
    [[nodiscard]] std::unique_ptr<Exchange> send(const Address& node, const Work& work, double timeoutMs,
                                                 Done done);

private:
    friend class Link;
    friend class Exchange;
    void finish(Link& link, Result result, bool keep);
    void discard(std::unique_ptr<Link> link);
    void sweep();

    event_base* base_;
    const Clock& clock_;
    const Limits& limits_;
    Counters& counters_;
    std::vector<std::unique_ptr<Link>> idle_;   // longest idle first
    std::vector<std::unique_ptr<Link>> waste_;  // freed from the loop, never from their own callbacks
    std::size_t links_ = 0;
    Timer sweep_;
    Timer empty_;
};

}  // namespace martencove::nbd
