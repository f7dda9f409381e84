// Datagrams between schedulers.
#pragma once

#include <functional>
#include <vector>

#include "core/counters.h"
#include "core/limits.h"
#include "core/values.h"
#include "net/address.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove {

class Peers {
public:
    /// Throws std::system_error where `listen` cannot be bound.
    Peers(event_base* base, const Address& listen, std::vector<Address> peers, const Limits& limits,
          Counters& counters, Log& log, std::function<void(const PeerMessage&)> heard);
    ~Peers();
    Peers(const Peers&) = delete;
    Peers& operator=(const Peers&) = delete;

    void tell(const PeerMessage& message);
    /// Their addresses from now on.
    void reach(std::vector<Address> peers) { peers_ = std::move(peers); }

private:
    static void readable(evutil_socket_t, short, void* self);
    void receive();

    std::vector<Address> peers_;  // by number
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    std::function<void(const PeerMessage&)> heard_;
    int socket_ = -1;
    Owned<event> event_;
};

}  // namespace martencove
