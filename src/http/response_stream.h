// One attempt to serve a client's request at a storage node, and the streaming of a long response to the
// client.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/counters.h"
#include "core/limits.h"
#include "http/node_connection.h"
#include "net/loop.h"

namespace martencove {

/// Appends a response body to a client's output buffer. Its bytes count in Counters::answerBytes until they
/// are written.
void addAccountedBody(evbuffer* buffer, std::string body, Counters& counters);

/// An attempt in flight. A long response is streamed to the client while it arrives: from sendHeaders() on,
/// the client's connection owns this object and the callbacks of the request's owner are no longer called.
class ResponseStream final : public ResponseSink {
public:
    /// Called until sendHeaders().
    struct Callbacks {
        std::function<bool()> onStart;         ///< a long response begins; returns whether to stream it
        std::function<void(NodeReply)> onEnd;  ///< the attempt has ended, the response was not streamed
    };
    /// Called at the end of a streamed response. If it is not complete, the client's connection has to be
    /// closed. May free this object.
    using DoneCallback = std::function<void(evhttp_connection*, bool complete)>;
    /// Called after evhttp has taken a part of the answer, for which it also reads from the client.
    using WriteCallback = std::function<void()>;

    ResponseStream(HttpNodeConnectionPool& pool, const Limits& limits, Counters& counters,
                   Callbacks callbacks)
        : pool_(pool), limits_(limits), counters_(counters), callbacks_(std::move(callbacks)) {}

    /// Sends the request to the node. Returns false if that is not possible; no callback is called then.
    [[nodiscard]] bool startAttempt(const Address& node, const NodeRequest& request,
                                    const AttemptTimeouts& timeouts);
    /// Returns whether any bytes of the request have been written to the node.
    [[nodiscard]] bool hasSentBytes() const { return inFlightRequest_->hasSentBytes(); }

    /// Sends status and headers to the client; the body follows through onBodyData().
    void sendHeaders(evhttp_request* request, WriteCallback onWrite, DoneCallback done);
    /// Ends the response to the client; `request()` is null afterwards.
    void finishResponse();
    /// Returns the client's request, which its connection owns; null before sendHeaders().
    [[nodiscard]] evhttp_request* request() const { return request_; }

    bool onHeaders(const std::string& contentType, std::optional<std::uint64_t> length) override;
    void onBodyData(std::string bytes) override;

private:
    void attemptEnded(NodeReply reply);
    /// Resumes reading from the node once the client's output buffer is empty.
    static void onOutputDrained(evhttp_connection*, void* self);
    /// Sets the timeouts of the client's connection. `reading`: the idle timeout in both directions;
    /// otherwise the stall timeout for writing alone.
    void setClientTimeouts(bool reading);

    HttpNodeConnectionPool& pool_;
    const Limits& limits_;
    Counters& counters_;
    Callbacks callbacks_;
    WriteCallback onWrite_;
    DoneCallback onDone_;
    std::unique_ptr<InFlightRequest<HttpNodeConnection>> inFlightRequest_;
    std::string contentType_;
    std::optional<std::uint64_t> length_;
    evhttp_request* request_ = nullptr;
    bool readingPaused_ = false;  // the client's output buffer is full
};

}  // namespace martencove
