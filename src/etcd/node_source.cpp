#include "etcd/node_source.h"

#include "etcd/messages.h"
#include "net/node_list.h"
#include "settings_json/fields.h"

namespace martencove::etcd {

using limedrum::fields::FieldError;

NodeSource::NodeSource(event_base* base, EtcdConfig config, std::uint64_t seed, const Limits& limits,
                       Counters& counters, Log& log, std::function<void(const NodeList&)> onNodesChanged)
    : base_(base),
      config_(std::move(config)),
      limits_(limits),
      counters_(counters),
      log_(log),
      onNodesChanged_(std::move(onNodesChanged)),
      backoff_(limits.etcdRetry.minMs, limits.etcdRetry.maxMs, seed),
      requestTimer_(base, [this] { sendRequest(); }),
      // A watch without changes looks like one of a dead host, so it is restarted after some time. It
      // continues from the next revision, so that no change is lost.
      responseTimer_(base, [this] { scheduleRequest(0); }) {
    requestTimer_.start(backoff_.initialDelayMs(limits.etcdRetry.initialMs));
}

void NodeSource::sendRequest() {
    connection_.reset(
        evhttp_connection_base_new(base_, nullptr, config_.address.host.c_str(), config_.address.port));
    evhttp_connection_set_retries(connection_.get(), 0);
    evhttp_connection_set_timeout(connection_.get(), 120);  // s; responseTimer_ fires earlier
    evhttp_connection_set_max_body_size(connection_.get(), static_cast<ev_ssize_t>(limits_.maxListBodyBytes));
    evhttp_connection_set_max_headers_size(connection_.get(),
                                           static_cast<ev_ssize_t>(limits_.maxHeaderBytes));
    responseBuffer_.clear();
    evhttp_request* request = evhttp_request_new(onRequestDone, this);
    evhttp_request_set_chunked_cb(request, onChunk);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", config_.address.toString().c_str());
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
    const bool needsSnapshot = revision_ == 0;
    isWatchRequest_ = !needsSnapshot;
    const std::string body =
        needsSnapshot ? makeRangeRequest(config_.prefix) : makeWatchRequest(config_.prefix, revision_ + 1);
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    counters_.add(needsSnapshot ? "etcd_range" : "etcd_watch");
    responseTimer_.start(needsSnapshot ? limits_.longPollSlackMs : limits_.etcdWatchIdleTimeoutMs);
    if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_POST,
                            needsSnapshot ? "/v3/kv/range" : "/v3/watch") != 0)
        scheduleRequest(backoff_.nextDelayMs());
}

void NodeSource::onChunk(evhttp_request* request, void* arg) {
    auto* self = static_cast<NodeSource*>(arg);
    if (evhttp_request_get_response_code(request) != 200) return;
    evbuffer* body = evhttp_request_get_input_buffer(request);
    std::string chunk(evbuffer_get_length(body), '\0');
    evbuffer_copyout(body, chunk.data(), chunk.size());
    self->responseBuffer_ += chunk;
    if (self->isWatchRequest_ && self->revision_ > 0) self->handleWatchMessages();
}

// The response to a range request is complete here. A watch ends only when its connection breaks.
void NodeSource::onRequestDone(evhttp_request* request, void* arg) {
    auto* self = static_cast<NodeSource*>(arg);
    const bool succeeded = request != nullptr && evhttp_request_get_response_code(request) == 200;
    if (succeeded && !self->isWatchRequest_) return self->handleRangeResponse();
    if (!succeeded) {
        self->counters_.add("etcd_failed");
        self->log_.warn("etcd", "request failed");
    }
    self->scheduleRequest(self->backoff_.nextDelayMs());
}

void NodeSource::handleRangeResponse() {
    try {
        applyUpdate(decodeRange(responseBuffer_), true);
        backoff_.reset();
        scheduleRequest(0);
    } catch (const FieldError& error) {
        rejectResponse(error.what());
    }
}

void NodeSource::handleWatchMessages() {
    try {
        for (std::size_t end = responseBuffer_.find('\n'); end != responseBuffer_.npos;
             end = responseBuffer_.find('\n')) {
            const std::string line = responseBuffer_.substr(0, end);
            responseBuffer_.erase(0, end + 1);
            const Update update = decodeWatch(line);
            if (update.canceled) {  // the revision was compacted: request a snapshot
                revision_ = 0;
                return scheduleRequest(0);
            }
            backoff_.reset();
            responseTimer_.start(limits_.etcdWatchIdleTimeoutMs);
            if (!update.pairs.empty()) applyUpdate(update, false);
        }
        if (responseBuffer_.size() > limits_.maxListBodyBytes) rejectResponse("message too long");
    } catch (const FieldError& error) {
        rejectResponse(error.what());
    }
}

// Applies an update entirely or, if an entry is invalid, not at all.
void NodeSource::applyUpdate(const Update& update, bool isSnapshot) {
    std::map<std::string, NodeEntry> nodes = isSnapshot ? std::map<std::string, NodeEntry>{} : nodesByKey_;
    NodeList list{update.revision, isSnapshot, {}};
    for (const KeyValue& pair : update.pairs) {
        if (!pair.deleted) {
            list.nodes.push_back(nodes[pair.key] = decodeNodeEntry(pair.value));
        } else if (const auto removed = nodes.find(pair.key); removed != nodes.end()) {
            list.nodes.push_back(removed->second);
            list.nodes.back().state = NodeState::gone;
            nodes.erase(removed);
        }
    }
    nodesByKey_ = std::move(nodes);
    revision_ = update.revision;
    counters_.add("etcd_update");
    onNodesChanged_(list);
}

// Requests a snapshot, since the meaning of an unreadable change is unknown.
void NodeSource::rejectResponse(const std::string& reason) {
    counters_.add("etcd_bad");
    log_.warn("etcd", "ignored invalid response", {{"reason", reason}});
    revision_ = 0;
    scheduleRequest(limits_.etcdMalformedRetryMs);
}

void NodeSource::scheduleRequest(double delayMs) {
    responseTimer_.stop();
    // Sent from the timer, since sendRequest() frees the connection and this may run in its own callback.
    requestTimer_.start(delayMs);
}

}  // namespace martencove::etcd
