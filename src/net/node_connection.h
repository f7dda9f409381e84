// Base class of the connections to storage nodes. It connects, applies the timeouts, tracks what has been
// written, and reports the result of one request at a time. Each wire protocol derives its own class.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/counters.h"
#include "core/limits.h"
#include "core/values.h"
#include "net/address.h"
#include "net/loop.h"

namespace martencove {

/// The result of a request to a node.
struct NodeReply {
    AttemptStatus status = AttemptStatus::connectionLost;
    std::string body;         ///< of a response that was served
    std::string contentType;  ///< empty if not given
};

/// A connection to a node. It carries one request at a time and can be reused. Times are in milliseconds.
class NodeConnection {
public:
    /// `keepAlive`: the connection can be used for another request.
    using DoneCallback = std::function<void(NodeConnection&, NodeReply, bool keepAlive)>;

    NodeConnection(event_base* base, Address address, const Limits& limits, Counters& counters);
    virtual ~NodeConnection();
    NodeConnection(const NodeConnection&) = delete;
    NodeConnection& operator=(const NodeConnection&) = delete;

    [[nodiscard]] const Address& address() const { return address_; }
    /// Whether it can take a request: it is open, and no unexpected bytes have been received.
    [[nodiscard]] bool isUsable();
    /// Whether a byte of the current request has been sent. Handshake bytes do not count.
    [[nodiscard]] bool hasSentBytes() const { return hasSentBytes_; }
    [[nodiscard]] bool isClosed() const { return closed_; }
    [[nodiscard]] bool isConnected() const { return isConnected_; }
    using ConnectCallback = std::function<void(bool connected)>;
    /// Connects without a request, or continues connecting after its request was detached. `onPreconnected`
    /// is called once, from the loop.
    void preconnect(ConnectCallback onPreconnected);
    /// Cancels the request or the connection attempt. No callback is called afterwards.
    void cancel();
    /// Pauses or resumes reading from the node. Data that has already been read is still handled.
    void setReading(bool enabled);

protected:
    /// Starts the timeouts of a new request, and connects if that has not been started. `onDone` is called
    /// once, from the loop.
    void beginRequest(const AttemptTimeouts& timeouts, DoneCallback onDone);
    /// Called when the connection is established while a request is under way.
    virtual void onConnected() {}
    /// Detaches a request of which no byte has been sent, and returns its callback. Connecting continues.
    [[nodiscard]] DoneCallback detachRequest();
    /// The timeouts that are left to the current request.
    [[nodiscard]] AttemptTimeouts remainingTimeouts() const {
        return {deadlineMs_ - clock_.nowMs(), sendByMs_ - clock_.nowMs()};
    }
    /// Removes from the front of `input` what belongs to the response, and calls setReply() at its end.
    virtual void onData(std::string_view& input) = 0;
    /// Called when the node has closed its sending side during a request. Calls setReply() if that ends the
    /// response.
    virtual void onEof() {}
    void write(const std::string& bytes);
    /// Writes the last bytes of the request; once they are written, the node may execute it. As many as the
    /// socket accepts are sent at once rather than in a later turn of the loop, when the client may already
    /// be gone. Nothing is sent after the time by which the last byte has to be sent. `body`: follows the
    /// bytes and is not copied; null: nothing follows.
    void writeFinal(std::string_view bytes, const std::shared_ptr<const std::string>& body = nullptr);
    /// Replaces the timeout of the request: it fails once nothing has been received for `stallMs`.
    void startStallTimeout(double stallMs);
    /// Sets the result of the request; it is reported once onData() has returned.
    void setReply(NodeReply reply, bool keepAlive);
    /// Fails the request because the node sent something invalid. The connection cannot be used any more.
    void failInvalidReply();

    const Limits& limits_;
    Counters& counters_;

private:
    static void onReadable(bufferevent*, void* self) { static_cast<NodeConnection*>(self)->read(); }
    static void onEvent(bufferevent*, short events, void* self);
    static void onOutputChanged(evbuffer* buffer, const evbuffer_cb_info* info, void* self);
    void read();
    // Counts a connection that bytes have made unusable: behind an answer, or while no request is under way.
    void countLeftOverBytes();
    void startConnect(double timeoutMs);
    /// Sends as much as the socket accepts and returns how much that is.
    std::size_t sendNow(std::string_view bytes, std::string_view body);
    void queueBody(const std::shared_ptr<const std::string>& body, std::size_t sentBytes);
    void onFinalByteWritten();
    void fail(AttemptStatus statusIfSent);
    void reportDone();

    const Clock clock_;
    Address address_;
    LibeventPtr<bufferevent> socket_;
    Timer connectOrSendTimer_;  // connecting, then sending the last byte
    Timer timeoutTimer_;
    DoneCallback onDone_;             // null: no request
    ConnectCallback onPreconnected_;  // null: connected, or connecting for a request
    NodeReply reply_;
    bool replySet_ = false;
    bool keepAlive_ = false;
    bool connectStarted_ = false;
    bool isConnected_ = false;
    double deadlineMs_ = 0;  // of the request
    double sendByMs_ = 0;    // for the last byte of the request
    bool closed_ = false;
    bool hasSentBytes_ = false;       // a byte of the request has left the write buffer
    bool finalWriteStarted_ = false;  // writeFinal() has passed on the last byte
    bool finalWriteDone_ = false;     // the last byte has left the write buffer
};

}  // namespace martencove
