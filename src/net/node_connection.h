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
struct NodeReply {
    AttemptStatus status = AttemptStatus::connectionLost;
    std::string body;         ///< of an answer that was served
    std::string contentType;  ///< empty: not told
};

class NodeConnection {
public:
    using DoneCallback = std::function<void(NodeConnection&, NodeReply, bool keep)>;

    NodeConnection(event_base* base, Address node, const Limits& limits, Counters& counters);
    virtual ~NodeConnection();
    NodeConnection(const NodeConnection&) = delete;
    NodeConnection& operator=(const NodeConnection&) = delete;

    [[nodiscard]] const Address& address() const { return address_; }
    /// Whether it can take work: it is up, and no bytes have come that belong to no answer.
    [[nodiscard]] bool isUsable();
    /// Whether a byte of the present work has left; a handshake's are none of it.
    [[nodiscard]] bool hasSentBytes() const { return hasSentBytes_; }
    [[nodiscard]] bool isClosed() const { return closed_; }
    [[nodiscard]] bool isConnected() const { return isConnected_; }
    /// Told once, from the loop, of a connection without work: whether it has come up.
    using ConnectCallback = std::function<void(bool up)>;
    /// Dials without work, or goes on with a dial whose work it was left by.
    void preconnect(ConnectCallback then);
    /// Gives up what is in work and says nothing any more.
    void cancel();
    /// Whether what the other side sends is read. What has come by then is still told.
    void setReading(bool on);

protected:
    /// Begins the time-outs of new work, and dials where it is not up. `over` is called once, from the loop.
    void beginRequest(const AttemptTimeouts& times, DoneCallback over);
    /// It has come up under work.
    virtual void onConnected() {}
    /// Lets go of work of which no byte has left. The dial goes on.
    [[nodiscard]] DoneCallback detachRequest();
    /// Of the present work's.
    [[nodiscard]] AttemptTimeouts remainingTimeouts() const {
        return {deadlineMs_ - clock_.nowMs(), sendByMs_ - clock_.nowMs()};
    }
    /// Takes off the front of `in` what belongs to the work, and settles it when it is over.
    virtual void onData(std::string_view& in) = 0;
    /// The other side has sent all that it will, while work is under way: settles it where that is its end.
    virtual void onEof() {}
    void write(const std::string& bytes);
    /// The same with the last of the work's bytes: once they are written, it may run. As many as the socket
    /// takes leave at once, none in a later turn of the loop, by when its client may have gone; and none once
    /// its time to start is over.
    void writeFinal(const std::string& bytes);
    /// From now on the work has no time of its own: it is broken once nothing has come for so long.
    void startStallTimeout(double stillMs);
    /// The work is over; told once arrived() has returned.
    void setReply(NodeReply reply, bool keep);
    /// What the other side sent makes no sense: the connection is of no use any more.
    void failInvalidReply();

    const Limits& limits_;
    Counters& counters_;

private:
    static void onReadable(bufferevent*, void* self) { static_cast<NodeConnection*>(self)->read(); }
    static void onEvent(bufferevent*, short what, void* self);
    static void onOutputChanged(evbuffer* buffer, const evbuffer_cb_info* info, void* self);
    void read();
    void startConnect(double withinMs);
    void onFinalByteWritten();
    void fail(AttemptStatus afterwards);
    void reportDone();

    const Clock clock_;
    Address address_;
    LibeventPtr<bufferevent> socket_;
    Timer connectOrSendTimer_;  // also of work that has to start by a time
    Timer timeoutTimer_;
    DoneCallback onDone_;             // null: nothing in work
    ConnectCallback onPreconnected_;  // null: it is up, or comes up under work
    NodeReply reply_;
    bool replySet_ = false;
    bool keepAlive_ = false;
    bool connectStarted_ = false;
    bool isConnected_ = false;
    double deadlineMs_ = 0;  // the work's time
    double sendByMs_ = 0;    // and that for its last byte to leave
    bool closed_ = false;
    bool hasSentBytes_ = false;       // a byte of the work has left the socket's buffer here
    bool finalWriteStarted_ = false;  // the work's last byte was handed to the socket
    bool finalWriteDone_ = false;     // and has left it
};

}  // namespace martencove
