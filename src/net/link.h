// A connection to a storage node that carries one piece of work at a time: dialling, time-outs, what was
// written and what came. The wires derive from it.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/counters.h"
#include "core/limits.h"
#include "core/values.h"
#include "net/address.h"
#include "net/loop.h"

namespace martencove {

/// What came of work at a node.
struct Reply {
    Ending ending = Ending::broken;
    std::string body;         ///< of an answer that was served
    std::string contentType;  ///< empty: not told
};

class Link {
public:
    using Over = std::function<void(Link&, Reply, bool keep)>;

    Link(event_base* base, Address node, const Limits& limits, Counters& counters);
    virtual ~Link();
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    [[nodiscard]] const Address& node() const { return node_; }
    /// Whether it can take work: it is up, and no bytes have come that belong to no answer.
    [[nodiscard]] bool usable();
    /// Whether a byte of the present work has left; a handshake's are none of it.
    [[nodiscard]] bool begun() const { return begun_; }
    [[nodiscard]] bool closed() const { return closed_; }
    [[nodiscard]] bool up() const { return up_; }
    /// Told once, from the loop, of a connection without work: whether it has come up.
    using Dialled = std::function<void(bool up)>;
    /// Dials without work, or goes on with a dial whose work it was left by.
    void dial(Dialled then);
    /// Gives up what is in work and says nothing any more.
    void stop();
    /// Whether what the other side sends is read. What has come by then is still told.
    void flow(bool on);

protected:
    /// Begins the time-outs of new work, and dials where it is not up. `over` is called once, from the loop.
    void begin(const AttemptTimes& times, Over over);
    /// It has come up under work.
    virtual void cameUp() {}
    /// Lets go of work of which no byte has left. The dial goes on.
    [[nodiscard]] Over leaveWork();
    /// Of the present work's.
    [[nodiscard]] AttemptTimes timesLeft() const {
        return {endsMs_ - clock_.nowMs(), startByMs_ - clock_.nowMs()};
    }
    /// Takes off the front of `in` what belongs to the work, and settles it when it is over.
    virtual void arrived(std::string_view& in) = 0;
    /// The other side has sent all that it will, while work is under way: settles it where that is its end.
    virtual void closes() {}
    void write(const std::string& bytes);
    /// The same with the last of the work's bytes: once they are written, it may run. As many as the socket
    /// takes leave at once, none in a later turn of the loop, by when its client may have gone; and none once
    /// its time to start is over.
    void writeLast(const std::string& bytes);
    /// From now on the work has no time of its own: it is broken once nothing has come for so long.
    void wait(double stillMs);
    /// The work is over; told once arrived() has returned.
    void settle(Reply reply, bool keep);
    /// What the other side sent makes no sense: the connection is of no use any more.
    void spoil();

    const Limits& limits_;
    Counters& counters_;

private:
    static void readable(bufferevent*, void* self) { static_cast<Link*>(self)->read(); }
    static void happened(bufferevent*, short what, void* self);
    static void moved(evbuffer* buffer, const evbuffer_cb_info* info, void* self);
    void read();
    void connect(double withinMs);
    void lastLeft();
    void fail(Ending afterwards);
    void finish();

    const Clock clock_;
    Address node_;
    Owned<bufferevent> socket_;
    Timer dial_;  // also of work that has to start by a time
    Timer timeout_;
    Over over_;            // null: nothing in work
    Dialled whenDialled_;  // null: it is up, or comes up under work
    Reply reply_;
    bool settled_ = false;
    bool keep_ = false;
    bool dialled_ = false;
    bool up_ = false;
    double endsMs_ = 0;     // the work's time
    double startByMs_ = 0;  // and that for its last byte to leave
    bool closed_ = false;
    bool begun_ = false;    // a byte of the work has left the socket's buffer here
    bool sent_ = false;     // the work's last byte was handed to the socket
    bool written_ = false;  // and has left it
};

}  // namespace martencove
