#include "http/node_pool.h"

#include <algorithm>

namespace martencove {

class NodeLink {
public:
    NodeLink(NodePool& pool, event_base* base, Address node)
        : pool_(pool),
          node_(std::move(node)),
          dial_(base, [this] { fail(Ending::notConnected); }),
          timeout_(base, [this] { fail(connected_ ? Ending::timedOut : Ending::notConnected); }) {
        connection_.reset(evhttp_connection_base_new(base, nullptr, node_.host.c_str(), node_.port));
        evhttp_connection_set_retries(connection_.get(), 0);  // a repeat is the module's to decide
        evhttp_connection_set_max_body_size(connection_.get(), static_cast<ev_ssize_t>(pool.limits_.body));
        evhttp_connection_set_max_headers_size(connection_.get(),
                                               static_cast<ev_ssize_t>(pool.limits_.headers));
        evhttp_connection_set_closecb(connection_.get(), closed, this);
        output_ = bufferevent_get_output(evhttp_connection_get_bufferevent(connection_.get()));
        evbuffer_add_cb(output_, moved, this);
    }
    ~NodeLink() {
        evhttp_connection_set_closecb(connection_.get(), nullptr, nullptr);
        evbuffer_remove_cb(output_, moved, this);
    }
    NodeLink(const NodeLink&) = delete;
    NodeLink& operator=(const NodeLink&) = delete;

    void start(const NodeRequest& r, double timeoutMs, NodePool::Done done) {
        done_ = std::move(done);
        written_ = false;
        evhttp_request* request = evhttp_request_new(answered, this);
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Host", node_.text().c_str());
        for (const auto& [name, value] : r.headers) evhttp_add_header(headers, name.c_str(), value.c_str());
        if (r.write) {
            evhttp_add_header(headers, "Content-Length", std::to_string(r.body.size()).c_str());
            evbuffer_add(evhttp_request_get_output_buffer(request), r.body.data(), r.body.size());
        }
        if (!connected_) dial_.start(pool_.limits_.dialMs);
        timeout_.start(timeoutMs);
        const auto method = r.write ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET;
        starting_ = true;
        if (evhttp_make_request(connection_.get(), request, method, r.uri.c_str()) != 0) failed_ = true;
        starting_ = false;
        if (failed_) timeout_.start(0);  // told from the loop, as every end is
    }

private:
    friend class NodePool;

    // The request's bytes enter the buffer once the connection is up and leave it as they are written.
    static void moved(evbuffer* buffer, const evbuffer_cb_info* info, void* arg) {
        auto* self = static_cast<NodeLink*>(arg);
        if (self->closed_) return;  // a reset empties the buffer too
        if (info->n_added > 0 && !self->connected_) {
            self->connected_ = true;
            self->dial_.stop();
        }
        if (info->n_deleted > 0 && evbuffer_get_length(buffer) == 0) self->written_ = true;
    }
    static void closed(evhttp_connection*, void* arg) { static_cast<NodeLink*>(arg)->closed_ = true; }

    static void answered(evhttp_request* request, void* arg) {
        auto* self = static_cast<NodeLink*>(arg);
        const int code = request == nullptr ? 0 : evhttp_request_get_response_code(request);
        if (code == 0) return self->fail(self->written_ ? Ending::broken : Ending::notConnected);
        evkeyvalq* headers = evhttp_request_get_input_headers(request);
        const auto header = [&](const char* name) -> std::string {
            const char* value = evhttp_find_header(headers, name);
            return value == nullptr ? "" : value;
        };
        NodeReply reply;
        const bool declined = (code == 503 || code == 504) && header("Srv-Declined") == "1";
        reply.ending = code == 200 ? Ending::served : declined ? Ending::turnedAway : Ending::error;
        if (reply.ending == Ending::served) {
            evbuffer* body = evhttp_request_get_input_buffer(request);
            reply.body.resize(evbuffer_get_length(body));
            evbuffer_copyout(body, reply.body.data(), reply.body.size());
            reply.contentType = header("Content-Type");
        }
        self->end(std::move(reply), !self->closed_);
    }

    void fail(Ending ending) {
        if (starting_) {  // within the call that began it
            failed_ = true;
            return;
        }
        NodeReply reply;
        reply.ending = failed_ ? Ending::notConnected : ending;
        end(std::move(reply), false);
    }

    void end(NodeReply reply, bool keep) {
        dial_.stop();
        timeout_.stop();
        if (done_) pool_.finish(*this, std::move(reply), keep);
    }

    NodePool& pool_;
    Address node_;
    Timer dial_;
    Timer timeout_;
    Owned<evhttp_connection> connection_;
    evbuffer* output_ = nullptr;
    NodePool::Done done_;
    Exchange* exchange_ = nullptr;
    double idleSinceMs_ = 0;
    bool connected_ = false;
    bool closed_ = false;   // it has been up, and is no more
    bool written_ = false;  // the last byte of the present request
    bool starting_ = false;
    bool failed_ = false;
};

Exchange::Exchange(std::unique_ptr<NodeLink> link, NodePool& pool) : link_(std::move(link)), pool_(pool) {}

Exchange::~Exchange() {
    if (link_) pool_.discard(std::move(link_));
}

NodePool::NodePool(event_base* base, const Clock& clock, const Limits& limits, Counters& counters)
    : base_(base),
      clock_(clock),
      limits_(limits),
      counters_(counters),
      sweep_(base, [this] { sweep(); }),
      empty_(base, [this] { waste_.clear(); }) {
    sweep_.start(limits_.sweepMs);
}

NodePool::~NodePool() = default;

std::unique_ptr<Exchange> NodePool::send(const Address& node, const NodeRequest& request, double timeoutMs,
                                         Done done) {
    std::unique_ptr<NodeLink> link;
    auto& idle = idle_[node.text()];
    while (!idle.empty() && !link) {  // the one used last: the others may then fall idle and be retired
        if (!idle.back()->closed_) link = std::move(idle.back());
        if (!link) discard(std::move(idle.back()));
        idle.pop_back();
    }
    if (!link) {
        if (!makeRoom()) return nullptr;
        ++links_;
        counters_.add("node_connection_opened");
        link = std::make_unique<NodeLink>(*this, base_, node);
    }
    NodeLink& started = *link;
    auto exchange = std::make_unique<Exchange>(std::move(link), *this);
    started.exchange_ = exchange.get();
    started.start(request, timeoutMs, std::move(done));
    return exchange;
}

void NodePool::finish(NodeLink& link, NodeReply reply, bool keep) {
    const Done done = std::exchange(link.done_, nullptr);
    std::unique_ptr<NodeLink> freed = std::move(std::exchange(link.exchange_, nullptr)->link_);
    if (keep) {
        freed->idleSinceMs_ = clock_.nowMs();
        idle_[link.node_.text()].push_back(std::move(freed));
    } else {
        discard(std::move(freed));
    }
    done(std::move(reply));
}

// Gives the connection up. It is closed from the loop's next turn, since this may be its own callback.
void NodePool::discard(std::unique_ptr<NodeLink> link) {
    link->done_ = nullptr;
    link->dial_.stop();
    link->timeout_.stop();
    --links_;
    waste_.push_back(std::move(link));
    empty_.start(0);
}

// The nodes close idle connections; one that is used just then would end as broken.
void NodePool::sweep() {
    const double before = clock_.nowMs() - limits_.nodeIdleMs * limits_.idlePart;
    for (auto it = idle_.begin(); it != idle_.end();) {
        auto& links = it->second;
        for (auto& link : links) {
            if (link->closed_ || link->idleSinceMs_ < before) discard(std::move(link));
        }
        std::erase(links, nullptr);
        it = links.empty() ? idle_.erase(it) : std::next(it);
    }
    sweep_.start(limits_.sweepMs);
}

// At the bound the connection that has been idle longest gives way.
bool NodePool::makeRoom() {
    if (links_ < limits_.nodeConnections) return true;
    std::vector<std::unique_ptr<NodeLink>>* oldest = nullptr;
    for (auto& [node, links] : idle_) {
        if (!links.empty() && (!oldest || links.front()->idleSinceMs_ < oldest->front()->idleSinceMs_))
            oldest = &links;
    }
    if (oldest == nullptr) return false;
    discard(std::move(oldest->front()));
    oldest->erase(oldest->begin());
    return true;
}

}  // namespace martencove
