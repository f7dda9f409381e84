#include "http/response_stream.h"

#include <utility>

namespace martencove {
namespace {

/// An answer's body on its way to the client, which its connection's buffer lets go of once it is written.
struct Leaving {
    std::string body;
    Counters& counters;

    Leaving(std::string b, Counters& c) : body(std::move(b)), counters(c) {
        counters.answerBytes += body.size();
    }
    ~Leaving() { counters.answerBytes -= body.size(); }
    Leaving(const Leaving&) = delete;
    Leaving& operator=(const Leaving&) = delete;
};

}  // namespace

void leave(evbuffer* by, std::string body, Counters& counters) {
    if (body.empty()) return;
    auto leaving = std::make_unique<Leaving>(std::move(body), counters);
    const std::string& text = leaving->body;
    if (evbuffer_add_reference(
            by, text.data(), text.size(),
            [](const void*, std::size_t, void* arg) { delete static_cast<Leaving*>(arg); },
            leaving.get()) == 0)
        (void)leaving.release();  // the buffer's now
}

bool ResponseStream::start(const Address& node, const NodeRequest& request, const AttemptTimes& times) {
    exchange_ = pool_.send(node, request, times, [this](Reply reply) { ended(std::move(reply)); });
    return exchange_ != nullptr;
}

// evhttp closes a connection on which nothing has come for the time of an idle one, also while it writes.
void ResponseStream::limitSilence(bool reading) {
    const timeval idle = timevalOf(limits_.clientIdleMs), still = timevalOf(limits_.passStillMs);
    bufferevent_set_timeouts(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request_)),
                             reading ? &idle : nullptr, reading ? &idle : &still);
}

void ResponseStream::goOn(evhttp_request* request, Passed passed) {
    request_ = request;
    passed_ = std::move(passed);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    if (!contentType_.empty()) evhttp_add_header(headers, "Content-Type", contentType_.c_str());
    if (length_) evhttp_add_header(headers, "Content-Length", std::to_string(*length_).c_str());
    counters_.add("answer_passed_on");
    limitSilence(false);
    evhttp_send_reply_start(request, 200, "OK");
}

void ResponseStream::end() {
    limitSilence(true);
    evhttp_send_reply_end(std::exchange(request_, nullptr));
}

bool ResponseStream::begins(const std::string& contentType, std::optional<std::uint64_t> length) {
    contentType_ = contentType;
    length_ = length;
    const auto passes = owner_.passes;  // a copy: this may be freed meanwhile
    return passes();
}

// No more is read than a client takes, but for a little that is before it.
void ResponseStream::piece(std::string bytes) {
    const Owned<evbuffer> buffer(evbuffer_new());
    if (!buffer) return;
    leave(buffer.get(), std::move(bytes), counters_);
    evhttp_connection* connection = evhttp_request_get_connection(request_);
    evhttp_send_reply_chunk_with_cb(request_, buffer.get(), taken, this);
    const evbuffer* output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    if (ahead_ || evbuffer_get_length(output) <= limits_.passAhead) return;
    ahead_ = true;
    exchange_->flow(false);
}

void ResponseStream::taken(evhttp_connection*, void* arg) {
    auto* self = static_cast<ResponseStream*>(arg);
    if (std::exchange(self->ahead_, false)) self->exchange_->flow(true);
}

void ResponseStream::ended(Reply reply) {
    // The same here.
    if (request_ == nullptr) {
        const auto ended = owner_.ended;
        return ended(std::move(reply));
    }
    const auto passed = passed_;
    passed(evhttp_request_get_connection(request_), reply.ending == Ending::served);
}

}  // namespace martencove
