// Connections to clients between the end of sending and the close. A close while bytes of the client wait
// unread resets the connection, and what it has not received of its last answer is gone. So the sending is
// ended alone; what still comes is read and dropped until the client closes too, within bounds on time, bytes
// and connections.
#pragma once

#include <list>

#include "core/clock.h"
#include "core/counters.h"
#include "core/limits.h"
#include "net/loop.h"

namespace martencove {

class LingeringCloses {
public:
    LingeringCloses(event_base* base, const Limits& limits, Counters& counters)
        : base_(base), limits_(limits), counters_(counters) {}
    LingeringCloses(const LingeringCloses&) = delete;
    LingeringCloses& operator=(const LingeringCloses&) = delete;

    /// Ends the sending on a connection all of whose answers are written, and takes care of its close. At the
    /// bound on connections the one that has lingered longest is closed at once.
    void add(BuffereventRef connection);
    /// Whether all that was sent has arrived at the clients' machines.
    [[nodiscard]] bool allDelivered() const;
    [[nodiscard]] std::size_t size() const { return closing_.size(); }

private:
    struct ClosingConnection {
        ClosingConnection(LingeringCloses& o, BuffereventRef c);
        static void onEvent(evutil_socket_t, short what, void* closing);
        /// Reads and drops what has come; false: the connection is over.
        [[nodiscard]] bool discardInput();
        /// Waits for the next bytes, for what is left of its time.
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
    std::list<ClosingConnection> closing_;  // the longest lingering first
};

}  // namespace martencove
