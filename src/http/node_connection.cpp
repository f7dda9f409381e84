#include "http/node_connection.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace martencove {

std::string encodeNodeRequestHead(const NodeRequest& request, const Address& node, double deadlineMs) {
    std::string text =
        (request.isWrite ? "PUT " : "GET ") + request.uri + " HTTP/1.1\r\nHost: " + node.toString() + "\r\n";
    for (const auto& [name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "Req-Deadline-Ms: " + std::to_string(std::max(1L, std::lround(std::floor(deadlineMs)))) + "\r\n";
    if (request.isWrite) text += "Content-Length: " + std::to_string(request.bodyBytes()) + "\r\n";
    return text.append("\r\n");
}

void HttpNodeConnection::writeRequest(const NodeRequest& request) {
    writeFinal(encodeNodeRequestHead(request, address(), remainingTimeouts().timeoutMs), request.body);
}

void HttpNodeConnection::start(const NodeRequest& request, const AttemptTimeouts& timeouts,
                               DoneCallback done) {
    accountBufferedBytes(0);
    parser_.emplace(limits_);
    sink_ = request.sink;
    streaming_ = false;
    beginRequest(timeouts, std::move(done));
    if (isConnected()) return writeRequest(request);
    pendingRequest_ = request;
}

// The request is encoded only now, so that Req-Deadline-Ms is the time that is left once the connection is
// established.
void HttpNodeConnection::onConnected() {
    writeRequest(*pendingRequest_);
    pendingRequest_.reset();
}

void HttpNodeConnection::transferRequest(HttpNodeConnection& other) {
    const AttemptTimeouts timeouts = remainingTimeouts();
    DoneCallback done = detachRequest();
    const NodeRequest request = std::move(*pendingRequest_);
    pendingRequest_.reset();
    other.start(request, timeouts, std::move(done));
}

void HttpNodeConnection::accountBufferedBytes(std::size_t bytes) {
    counters_.answerBytes += bytes - std::exchange(accountedBytes_, bytes);
}

// Long responses are not buffered, since more of them may arrive at once than fit into memory. Once the first
// bytes are forwarded, the request gets no further attempt.
bool HttpNodeConnection::forwardToSink(bool complete) {
    HttpResponseParser& response = *parser_;
    if (sink_ == nullptr || response.statusCode != 200 || !response.headersComplete()) return true;
    if (!streaming_) {
        const auto remaining = response.remainingBodyBytes();
        const std::uint64_t length = response.body.size() + remaining.value_or(0);
        if (length <= limits_.streamThresholdBytes) return true;
        streaming_ = true;
        startStallTimeout(limits_.streamStallTimeoutMs);
        if (!sink_->onHeaders(response.contentType, remaining ? std::optional(length) : std::nullopt))
            return false;
    }
    if (!complete) startStallTimeout(limits_.streamStallTimeoutMs);
    if (!response.body.empty()) sink_->onBodyData(std::exchange(response.body, {}));
    return true;
}

void HttpNodeConnection::onEof() {
    HttpResponseParser& response = *parser_;
    if (!response.readsUntilClose()) return;
    if (!forwardToSink(true)) return;
    setReply({response.statusCode == 200 ? AttemptStatus::served : AttemptStatus::error,
              std::move(response.body), std::move(response.contentType)},
             false);
}

void HttpNodeConnection::onData(std::string_view& in) {
    HttpResponseParser& response = *parser_;
    const auto result = response.parse(in);
    if (result == HttpResponseParser::ParseResult::invalid) return failInvalidReply();
    if (!forwardToSink(result == HttpResponseParser::ParseResult::complete)) return;
    accountBufferedBytes(result == HttpResponseParser::ParseResult::needMore ? response.body.size() : 0);
    if (response.body.size() > limits_.maxBufferedAnswerBytes) return failInvalidReply();
    if (counters_.answerBytes > limits_.maxAnswerMemoryBytes && !streaming_) {
        counters_.add("answer_no_memory");
        return failInvalidReply();
    }
    if (result == HttpResponseParser::ParseResult::needMore) return;
    const bool rejected = (response.statusCode == 503 || response.statusCode == 504) && response.declined;
    if (response.statusCode == 200)
        return setReply({AttemptStatus::served, std::move(response.body), std::move(response.contentType)},
                        response.keepAlive);
    setReply({rejected ? AttemptStatus::rejected : AttemptStatus::error, {}, {}}, response.keepAlive);
}

}  // namespace martencove
