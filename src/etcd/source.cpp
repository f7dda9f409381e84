#include "etcd/source.h"

#include "etcd/messages.h"
#include "net/node_list.h"
#include "settings_json/fields.h"

namespace martencove::etcd {

using limedrum::fields::FieldError;

Source::Source(event_base* base, EtcdConfig config, std::uint64_t seed, const Limits& limits,
               Counters& counters, Log& log, std::function<void(const NodeList&)> told)
    : base_(base),
      config_(std::move(config)),
      limits_(limits),
      counters_(counters),
      log_(log),
      told_(std::move(told)),
      rest_(limits.etcd.leastMs, limits.etcd.mostMs, seed),
      next_(base, [this] { call(); }),
      // A watch says nothing for as long as nothing changes, and so does a dead machine: it is asked for anew
      // now and then, from the next revision on, which loses nothing.
      quiet_(base, [this] { again(0); }) {
    next_.start(rest_.firstMs(limits.etcd.firstMs));
}

void Source::call() {
    connection_.reset(
        evhttp_connection_base_new(base_, nullptr, config_.address.host.c_str(), config_.address.port));
    evhttp_connection_set_retries(connection_.get(), 0);
    evhttp_connection_set_timeout(connection_.get(), 120);  // quiet_ comes long before
    evhttp_connection_set_max_body_size(connection_.get(), static_cast<ev_ssize_t>(limits_.listBody));
    evhttp_connection_set_max_headers_size(connection_.get(), static_cast<ev_ssize_t>(limits_.headers));
    pending_.clear();
    evhttp_request* request = evhttp_request_new(over, this);
    evhttp_request_set_chunked_cb(request, piece);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", config_.address.text().c_str());
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
    const bool whole = revision_ == 0;
    watching_ = !whole;
    const std::string body =
        whole ? rangeRequest(config_.prefix) : watchRequest(config_.prefix, revision_ + 1);
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    counters_.add(whole ? "etcd_range" : "etcd_watch");
    quiet_.start(whole ? limits_.watchGraceMs : limits_.etcdQuietMs);
    if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_POST,
                            whole ? "/v3/kv/range" : "/v3/watch") != 0)
        again(rest_.nextMs());
}

void Source::piece(evhttp_request* request, void* arg) {
    auto* self = static_cast<Source*>(arg);
    if (evhttp_request_get_response_code(request) != 200) return;
    evbuffer* body = evhttp_request_get_input_buffer(request);
    std::string more(evbuffer_get_length(body), '\0');
    evbuffer_copyout(body, more.data(), more.size());
    self->pending_ += more;
    if (self->watching_ && self->revision_ > 0) self->takeWatched();
}

// A range's answer is whole; a watch's ends only when it breaks.
void Source::over(evhttp_request* request, void* arg) {
    auto* self = static_cast<Source*>(arg);
    const bool good = request != nullptr && evhttp_request_get_response_code(request) == 200;
    if (good && !self->watching_) return self->takeRange();
    if (!good) {
        self->counters_.add("etcd_failed");
        self->log_.warn("etcd", "call failed");
    }
    self->again(self->rest_.nextMs());
}

void Source::takeRange() {
    try {
        tell(decodeRange(pending_), true);
        rest_.reset();
        again(0);
    } catch (const FieldError& error) {
        ignore(error.what());
    }
}

void Source::takeWatched() {
    try {
        for (std::size_t end = pending_.find('\n'); end != pending_.npos; end = pending_.find('\n')) {
            const std::string line = pending_.substr(0, end);
            pending_.erase(0, end + 1);
            const Update update = decodeWatch(line);
            if (update.canceled) {  // its revisions are gone: the whole list again
                revision_ = 0;
                return again(0);
            }
            rest_.reset();
            quiet_.start(limits_.etcdQuietMs);
            if (!update.pairs.empty()) tell(update, false);
        }
        if (pending_.size() > limits_.listBody) ignore("a message without end");
    } catch (const FieldError& error) {
        ignore(error.what());
    }
}

// All of an update or nothing of it.
void Source::tell(const Update& update, bool whole) {
    std::map<std::string, NodeEntry> nodes = whole ? std::map<std::string, NodeEntry>{} : nodes_;
    NodeList list{update.revision, whole, {}};
    for (const KeyValue& pair : update.pairs) {
        if (!pair.deleted) {
            list.nodes.push_back(nodes[pair.key] = decodeNodeEntry(pair.value));
        } else if (const auto at = nodes.find(pair.key); at != nodes.end()) {
            list.nodes.push_back(at->second);
            list.nodes.back().state = NodeState::gone;
            nodes.erase(at);
        }
    }
    nodes_ = std::move(nodes);
    revision_ = update.revision;
    counters_.add("etcd_update");
    told_(list);
}

// The whole list again: what a change that cannot be read meant is not known.
void Source::ignore(const std::string& why) {
    counters_.add("etcd_bad");
    log_.warn("etcd", "answer ignored", {{"reason", why}});
    revision_ = 0;
    again(limits_.etcdBadMs);
}

void Source::again(double afterMs) {
    quiet_.stop();
    // Not within the connection's own callback; call() frees it.
    next_.start(afterMs);
}

}  // namespace martencove::etcd
