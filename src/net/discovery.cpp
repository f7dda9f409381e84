#include "net/discovery.h"

#include <cmath>
#include <string>

#include "net/node_list.h"
#include "settings_json/fields.h"

namespace martencove {

Discovery::Discovery(event_base* base, Address address, std::int64_t version, std::uint64_t seed,
                     const Limits& limits, Counters& counters, Log& log,
                     std::function<void(const NodeList&)> told)
    : base_(base),
      address_(std::move(address)),
      version_(version),
      limits_(limits),
      counters_(counters),
      log_(log),
      told_(std::move(told)),
      rest_(limits.list.leastMs, limits.list.mostMs, seed),
      next_(base, [this] { call(); }),
      silence_(base, [this] {
          counters_.add("discovery_silent");
          log_.warn("discovery", "silent, calling again");
          again();
      }) {
    next_.start(rest_.firstMs(limits_.list.firstMs));
}

void Discovery::moveTo(Address address) {
    if (address == address_) return;
    address_ = std::move(address);
    wantsWhole_ = true;
    silence_.stop();
    connection_.reset();  // and with it the call that waits there
    next_.start(rest_.firstMs(limits_.list.firstMs));
}

void Discovery::call() {
    if (!connection_) {
        connection_.reset(evhttp_connection_base_new(base_, nullptr, address_.host.c_str(), address_.port));
        evhttp_connection_set_retries(connection_.get(), 0);
        evhttp_connection_set_timeout(connection_.get(), 120);  // silence_ comes long before
        evhttp_connection_set_max_body_size(connection_.get(), static_cast<ev_ssize_t>(limits_.listBody));
        evhttp_connection_set_max_headers_size(connection_.get(), static_cast<ev_ssize_t>(limits_.headers));
    }
    evhttp_request* request = evhttp_request_new(answered, this);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", address_.text().c_str());
    const std::string watch =
        "?after=" + std::to_string(version_) + "&wait_ms=" + std::to_string(std::lround(limits_.watchWaitMs));
    const std::string path = "/v1/servers" + (wantsWhole_ ? "" : watch);
    counters_.add("discovery_call");
    silence_.start(limits_.watchWaitMs + limits_.watchGraceMs);
    if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0) again();
}

void Discovery::answered(evhttp_request* request, void* arg) {
    auto* self = static_cast<Discovery*>(arg);
    self->silence_.stop();
    if (request == nullptr || evhttp_request_get_response_code(request) != 200) {
        self->counters_.add("discovery_failed");
        self->log_.warn("discovery", request == nullptr || evhttp_request_get_response_code(request) == 0
                                         ? "no connection"
                                         : "an answer other than 200");
        return self->again();
    }
    evbuffer* body = evhttp_request_get_input_buffer(request);
    std::string text(evbuffer_get_length(body), '\0');
    evbuffer_copyout(body, text.data(), text.size());
    // The next call first, from the loop: a watch must not lapse over what the list leads to.
    self->next_.start(0);
    self->take(text);
}

void Discovery::take(const std::string& text) {
    try {
        const NodeList list = decodeNodeList(text);
        counters_.add("discovery_list");
        rest_.reset();
        if (list.whole) wantsWhole_ = false;
        if (list.version < version_ && !list.whole) return;
        version_ = list.version;
        if (list.whole || !list.nodes.empty()) told_(list);
    } catch (const limedrum::fields::FieldError& error) {
        counters_.add("discovery_bad");
        log_.warn("discovery", "list ignored", {{"reason", error.what()}});
        next_.start(rest_.nextMs());
    }
}

void Discovery::again() {
    silence_.stop();
    // Not within the connection's own callback.
    event_base_once(
        base_, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* c) { evhttp_connection_free(static_cast<evhttp_connection*>(c)); },
        connection_.release(), nullptr);
    next_.start(rest_.nextMs());
}

}  // namespace martencove
