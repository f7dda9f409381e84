#include "http/response_stream.h"

#include <utility>

namespace martencove {
namespace {

/// A response body in a client's output buffer, which frees it once it is written.
struct AccountedBody {
    std::string body;
    Counters& counters;

    AccountedBody(std::string text, Counters& counterSet) : body(std::move(text)), counters(counterSet) {
        counters.answerBytes += body.size();
    }
    ~AccountedBody() { counters.answerBytes -= body.size(); }
    AccountedBody(const AccountedBody&) = delete;
    AccountedBody& operator=(const AccountedBody&) = delete;
};

}  // namespace

void addAccountedBody(evbuffer* buffer, std::string body, Counters& counters) {
    if (body.empty()) return;
    auto accounted = std::make_unique<AccountedBody>(std::move(body), counters);
    const std::string& text = accounted->body;
    if (evbuffer_add_reference(
            buffer, text.data(), text.size(),
            [](const void*, std::size_t, void* arg) { delete static_cast<AccountedBody*>(arg); },
            accounted.get()) == 0)
        (void)accounted.release();  // owned by the buffer now
}

bool ResponseStream::startAttempt(const Address& node, const NodeRequest& request,
                                  const AttemptTimeouts& timeouts) {
    inFlightRequest_ =
        pool_.send(node, request, timeouts, [this](NodeReply reply) { attemptEnded(std::move(reply)); });
    return inFlightRequest_ != nullptr;
}

// evhttp applies its idle timeout for reading also while it writes a response, so there is no read timeout
// while a response is streamed.
void ResponseStream::setClientTimeouts(bool reading) {
    const timeval idle = toTimeval(limits_.clientIoTimeoutMs),
                  stall = toTimeval(limits_.streamStallTimeoutMs);
    bufferevent_set_timeouts(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request_)),
                             reading ? &idle : nullptr, reading ? &idle : &stall);
}

void ResponseStream::sendHeaders(evhttp_request* request, WriteCallback onWrite, DoneCallback done) {
    request_ = request;
    onWrite_ = std::move(onWrite);
    onDone_ = std::move(done);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    if (!contentType_.empty()) evhttp_add_header(headers, "Content-Type", contentType_.c_str());
    if (length_) evhttp_add_header(headers, "Content-Length", std::to_string(*length_).c_str());
    counters_.add("answer_passed_on");
    setClientTimeouts(false);
    evhttp_send_reply_start(request, 200, "OK");
    onWrite_();
}

void ResponseStream::finishResponse() {
    setClientTimeouts(true);
    evhttp_send_reply_end(std::exchange(request_, nullptr));
}

bool ResponseStream::onHeaders(const std::string& contentType, std::optional<std::uint64_t> length) {
    contentType_ = contentType;
    length_ = length;
    const auto onStart = callbacks_.onStart;  // a copy: the call may free this object
    return onStart();
}

// Stops reading from the node while more than `maxStreamBufferBytes` wait to be written to the client.
void ResponseStream::onBodyData(std::string bytes) {
    const LibeventPtr<evbuffer> buffer(evbuffer_new());
    if (!buffer) return;
    addAccountedBody(buffer.get(), std::move(bytes), counters_);
    evhttp_connection* connection = evhttp_request_get_connection(request_);
    evhttp_send_reply_chunk_with_cb(request_, buffer.get(), onOutputDrained, this);
    onWrite_();
    const evbuffer* output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    if (readingPaused_ || evbuffer_get_length(output) <= limits_.maxStreamBufferBytes) return;
    readingPaused_ = true;
    inFlightRequest_->setReading(false);
}

void ResponseStream::onOutputDrained(evhttp_connection*, void* arg) {
    auto* self = static_cast<ResponseStream*>(arg);
    if (std::exchange(self->readingPaused_, false)) self->inFlightRequest_->setReading(true);
}

void ResponseStream::attemptEnded(NodeReply reply) {
    // Callbacks are copied, since the call may free this object.
    if (request_ == nullptr) {
        const auto onEnd = callbacks_.onEnd;
        return onEnd(std::move(reply));
    }
    const auto onDone = onDone_;
    onDone(evhttp_request_get_connection(request_), reply.status == AttemptStatus::served);
}

}  // namespace martencove
