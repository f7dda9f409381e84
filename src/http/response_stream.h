// One attempt of a client's request on its way, and what a client gets of it.
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

/// Puts an answer's body into a client's buffer. It counts as held until it is written.
void addAccountedBody(evbuffer* by, std::string body, Counters& counters);

/// A long answer goes on to the client as it comes: then the request's owner has no more part in it, and it
/// is the client's connection that holds this.
class ResponseStream final : public ResponseSink {
public:
    /// Who has the request until goOn().
    struct Callbacks {
        std::function<bool()> onStart;  ///< a long answer begins; whether it goes on
        std::function<void(NodeReply)> onEnd;
    };
    /// The answer has been passed on; where not whole, the client's connection has to end. May free this.
    using DoneCallback = std::function<void(evhttp_connection*, bool whole)>;

    ResponseStream(HttpNodeConnectionPool& pool, const Limits& limits, Counters& counters, Callbacks owner)
        : pool_(pool), limits_(limits), counters_(counters), callbacks_(std::move(owner)) {}

    [[nodiscard]] bool startAttempt(const Address& node, const NodeRequest& request,
                                    const AttemptTimeouts& times);
    [[nodiscard]] bool hasSentBytes() const { return exchange_->hasSentBytes(); }

    /// The answer's head goes to the client; pieces follow.
    void sendHeaders(evhttp_request* request, DoneCallback passed);
    /// The last piece has gone: so has the request.
    void finishResponse();
    /// Since goOn(); its connection holds it.
    [[nodiscard]] evhttp_request* request() const { return request_; }

    bool onHeaders(const std::string& contentType, std::optional<std::uint64_t> length) override;
    void onBodyData(std::string bytes) override;

private:
    void attemptEnded(NodeReply reply);
    static void onOutputDrained(evhttp_connection*, void* self);
    void setClientTimeouts(bool reading);

    HttpNodeConnectionPool& pool_;
    const Limits& limits_;
    Counters& counters_;
    Callbacks callbacks_;
    DoneCallback onDone_;
    std::unique_ptr<InFlightRequest<HttpNodeConnection>> exchange_;
    std::string contentType_;
    std::optional<std::uint64_t> length_;
    evhttp_request* request_ = nullptr;
    bool readingPaused_ = false;  // the client has enough before it
};

}  // namespace martencove
