// Lingering close of client connections. Closing a socket with unread input resets the connection, and the
// client loses what it has not yet received of the last response. So only the sending side is shut down, and
// further input is read and discarded until the client closes too, with limits on time, bytes and
// connections.
#pragma once

#include <list>

#include "core/clock.h"
#include "core/counters.h"
#include "core/limits.h"
#include "net/loop.h"

namespace martencove {

/// The connections that are being closed.
class LingeringCloses {
public:
    LingeringCloses(event_base* base, const Limits& limits, Counters& counters)
        : base_(base), limits_(limits), counters_(counters) {}
    LingeringCloses(const LingeringCloses&) = delete;
    LingeringCloses& operator=(const LingeringCloses&) = delete;

    /// Takes over a connection whose responses are all written: shuts down sending and closes it later. At
    /// the limit on connections, closes the one that has lingered longest at once.
    void add(BuffereventRef connection);
    /// Whether the clients' hosts have acknowledged everything that was sent.
    [[nodiscard]] bool allDelivered() const;
    [[nodiscard]] std::size_t size() const { return closing_.size(); }

private:
    struct ClosingConnection {
        ClosingConnection(LingeringCloses& closes, BuffereventRef ref);
        static void onEvent(evutil_socket_t, short events, void* closing);
        /// Reads and discards input. Returns false if the connection is to be closed.
        [[nodiscard]] bool discardInput();
        /// Waits for more input until the deadline.
        void waitForInput();

        LingeringCloses& owner;
        BuffereventRef connection;
        double deadlineMs;
        std::size_t droppedBytes = 0;
        LibeventPtr<event> readEvent;
    };
    void remove(const ClosingConnection& closing);

    event_base* base_;
    const Limits& limits_;
    Counters& counters_;
    const Clock clock_;
    std::list<ClosingConnection> closing_;  // oldest first
};

}  // namespace martencove
