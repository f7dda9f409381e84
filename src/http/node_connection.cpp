#include "http/node_connection.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace martencove {

std::string encodeNodeRequest(const NodeRequest& request, const Address& node, double deadlineMs) {
    std::string out =
        (request.isWrite ? "PUT " : "GET ") + request.uri + " HTTP/1.1\r\nHost: " + node.toString() + "\r\n";
    for (const auto& [name, value] : request.headers)
        out.append(name).append(": ").append(value).append("\r\n");
    out += "Req-Deadline-Ms: " + std::to_string(std::max(1L, std::lround(std::floor(deadlineMs)))) + "\r\n";
    if (request.isWrite) out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return out.append("\r\n").append(request.body);
}

void HttpNodeConnection::start(const NodeRequest& request, const AttemptTimeouts& times, DoneCallback over) {
    accountBufferedBytes(0);
    parser_.emplace(limits_);
    sink_ = request.sink;
    streaming_ = false;
    beginRequest(times, std::move(over));
    if (isConnected())
        return writeFinal(encodeNodeRequest(request, address(), remainingTimeouts().timeoutMs));
    pendingRequest_ = request;
}

// The request is encoded only now, so that Req-Deadline-Ms is the time that is left once the connection is
// established.
void HttpNodeConnection::onConnected() {
    writeFinal(encodeNodeRequest(*pendingRequest_, address(), remainingTimeouts().timeoutMs));
    pendingRequest_.reset();
}

void HttpNodeConnection::transferRequest(HttpNodeConnection& other) {
    const AttemptTimeouts left = remainingTimeouts();
    DoneCallback over = detachRequest();
    const NodeRequest work = std::move(*pendingRequest_);
    pendingRequest_.reset();
    other.start(work, left, std::move(over));
}

void HttpNodeConnection::accountBufferedBytes(std::size_t bytes) {
    counters_.answerBytes += bytes - std::exchange(accountedBytes_, bytes);
}

// Long responses are not buffered, since more of them may arrive at once than fit into memory. Once the first
// bytes are forwarded, the request gets no further attempt.
bool HttpNodeConnection::forwardToSink(bool whole) {
    HttpResponseParser& answer = *parser_;
    if (sink_ == nullptr || answer.statusCode != 200 || !answer.headersComplete()) return true;
    if (!streaming_) {
        const auto left = answer.remainingBodyBytes();
        const std::uint64_t length = answer.body.size() + left.value_or(0);
        if (length <= limits_.streamThresholdBytes) return true;
        streaming_ = true;
        startStallTimeout(limits_.streamStallTimeoutMs);
        if (!sink_->onHeaders(answer.contentType, left ? std::optional(length) : std::nullopt)) return false;
    }
    if (!whole) startStallTimeout(limits_.streamStallTimeoutMs);
    if (!answer.body.empty()) sink_->onBodyData(std::exchange(answer.body, {}));
    return true;
}

void HttpNodeConnection::onEof() {
    HttpResponseParser& answer = *parser_;
    if (!answer.readsUntilClose()) return;
    if (!forwardToSink(true)) return;
    setReply({answer.statusCode == 200 ? AttemptStatus::served : AttemptStatus::error, std::move(answer.body),
              std::move(answer.contentType)},
             false);
}

void HttpNodeConnection::onData(std::string_view& in) {
    HttpResponseParser& answer = *parser_;
    const auto got = answer.parse(in);
    if (got == HttpResponseParser::ParseResult::invalid) return failInvalidReply();
    if (!forwardToSink(got == HttpResponseParser::ParseResult::complete)) return;
    accountBufferedBytes(got == HttpResponseParser::ParseResult::needMore ? answer.body.size() : 0);
    if (answer.body.size() > limits_.maxBufferedAnswerBytes) return failInvalidReply();
    if (counters_.answerBytes > limits_.maxAnswerMemoryBytes && !streaming_) {
        counters_.add("answer_no_memory");
        return failInvalidReply();
    }
    if (got == HttpResponseParser::ParseResult::needMore) return;
    const bool declined = (answer.statusCode == 503 || answer.statusCode == 504) && answer.declined;
    if (answer.statusCode == 200)
        return setReply({AttemptStatus::served, std::move(answer.body), std::move(answer.contentType)},
                        answer.keepAlive);
    setReply({declined ? AttemptStatus::rejected : AttemptStatus::error, {}, {}}, answer.keepAlive);
}

}  // namespace martencove
