// Requests to storage nodes over HTTP/1.1.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/response_parser.h"
#include "net/node_connection_pool.h"

namespace martencove {

/// Where a long answer goes as it comes. Its end is told as that of any work.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;
    /// A good answer begins; `length`: of its body, nothing where that is not known. False: it is not wanted
    /// any more, and neither link nor sink may be there.
    virtual bool onHeaders(const std::string& contentType, std::optional<std::uint64_t> length) = 0;
    virtual void onBodyData(std::string bytes) = 0;
};

struct NodeRequest {
    ResponseSink* sink = nullptr;  ///< null: the answer is held whole
    bool isWrite = false;
    std::string uri;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};
/// `deadlineMs`: what is left of its time, as the node is told.
[[nodiscard]] std::string encodeNodeRequest(const NodeRequest& request, const Address& node,
                                            double deadlineMs);

class HttpNodeConnection final : public NodeConnection {
public:
    using Work = NodeRequest;
    static constexpr const char* kOpenedCounter = "node_connection_opened";
    static constexpr bool kCanPreconnect = true;

    HttpNodeConnection(event_base* base, const Address& node, const NodeRequest&, const Limits& limits,
                       Counters& counters)
        : NodeConnection(base, node, limits, counters) {}

    ~HttpNodeConnection() override { accountBufferedBytes(0); }

    [[nodiscard]] bool matches(const Address& to, const NodeRequest&) const { return address() == to; }
    void start(const NodeRequest& request, const AttemptTimeouts& times, DoneCallback over);
    /// The work that waits for it to come up.
    [[nodiscard]] const NodeRequest& pendingRequest() const { return *pendingRequest_; }
    /// Another one that is up does it.
    void transferRequest(HttpNodeConnection& other);

private:
    void onConnected() override;
    void onData(std::string_view& in) override;
    void onEof() override;

    void accountBufferedBytes(std::size_t bytes);
    /// Passes on what has come of a long answer. False: this link may be gone.
    [[nodiscard]] bool forwardToSink(bool whole);

    std::optional<NodeRequest> pendingRequest_;  // for the connection to come up
    std::optional<HttpResponseParser> parser_;   // of the present request
    ResponseSink* sink_ = nullptr;               // of it
    bool streaming_ = false;                     // it has begun
    std::size_t accountedBytes_ = 0;             // of its answer, as counted
};

using HttpNodeConnectionPool = NodeConnectionPool<HttpNodeConnection>;

}  // namespace martencove
