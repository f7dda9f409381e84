// Connections that send requests to storage nodes over HTTP/1.1 and parse the responses.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/response_parser.h"
#include "net/node_connection_pool.h"

namespace martencove {

/// Receives a long response piece by piece while it arrives. The end of the response is reported through the
/// request's done callback, as for any request.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;
    /// Called when the headers of a 200 response have arrived. `length`: body length in bytes, nothing if
    /// unknown. Returns false if the response is no longer wanted; connection and sink may then be freed
    /// already.
    virtual bool onHeaders(const std::string& contentType, std::optional<std::uint64_t> length) = 0;
    /// Called with each piece of the body, in order.
    virtual void onBodyData(std::string bytes) = 0;
};

/// An HTTP request to a storage node.
struct NodeRequest {
    ResponseSink* sink = nullptr;  ///< null: the response is buffered whole
    bool isWrite = false;
    std::string uri;
    std::vector<std::pair<std::string, std::string>> headers;
    /// Shared by all attempts of the request; null if it has none.
    std::shared_ptr<const std::string> body;

    [[nodiscard]] std::size_t bodyBytes() const { return body ? body->size() : 0; }
};
/// Returns the head of the request as HTTP/1.1 text. `deadlineMs`: the remaining time in milliseconds, sent
/// to the node as Req-Deadline-Ms, at least 1.
[[nodiscard]] std::string encodeNodeRequestHead(const NodeRequest& request, const Address& node,
                                                double deadlineMs);

/// A connection to a storage node that carries one HTTP request at a time. Responses longer than
/// `streamThresholdBytes` are forwarded to the request's sink while they arrive.
class HttpNodeConnection final : public NodeConnection {
public:
    using Work = NodeRequest;
    static constexpr const char* kOpenedCounter = "node_connection_opened";
    static constexpr bool kCanPreconnect = true;

    HttpNodeConnection(event_base* base, const Address& node, const NodeRequest&, const Limits& limits,
                       Counters& counters)
        : NodeConnection(base, node, limits, counters) {}

    ~HttpNodeConnection() override { accountBufferedBytes(0); }

    /// How long after an answer a connection may not be reused, in ms.
    [[nodiscard]] static double reuseDelayMs(const Limits& limits) { return limits.httpNodeReuseDelayMs; }
    /// Returns whether the connection can carry a request to `node`.
    [[nodiscard]] bool matches(const Address& node, const NodeRequest&) const { return address() == node; }
    /// Sends the request, at once if connected, otherwise as soon as the connection is established.
    void start(const NodeRequest& request, const AttemptTimeouts& timeouts, DoneCallback done);
    /// Returns the request that waits for the connection to be established; there must be one.
    [[nodiscard]] const NodeRequest& pendingRequest() const { return *pendingRequest_; }
    /// Moves the waiting request to a connection that is established.
    void transferRequest(HttpNodeConnection& other);

private:
    void writeRequest(const NodeRequest& request);
    void onConnected() override;
    void onData(std::string_view& in) override;
    void onEof() override;

    /// Updates the global counter of buffered response bytes with this connection's share.
    void accountBufferedBytes(std::size_t bytes);
    /// Forwards the received part of a long response to the sink. `complete`: the whole response has arrived.
    /// Returns false if this connection may have been freed.
    [[nodiscard]] bool forwardToSink(bool complete);

    std::optional<NodeRequest> pendingRequest_;  // waits for the connection
    std::optional<HttpResponseParser> parser_;   // of the current request
    ResponseSink* sink_ = nullptr;               // of the current request
    bool streaming_ = false;                     // the sink has received the headers
    std::size_t accountedBytes_ = 0;             // counted in Counters::answerBytes
};

using HttpNodeConnectionPool = NodeConnectionPool<HttpNodeConnection>;

}  // namespace martencove
