#include "nbd/node_pool.h"

#include <algorithm>
#include <utility>

namespace martencove::nbd {

/// One connection to a node's export: its handshake, then one command at a time.
class Link {
public:
    Link(Pool& pool, event_base* base, Address node, std::string exportName)
        : pool_(pool),
          node_(std::move(node)),
          export_(std::move(exportName)),
          socket_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
          dial_(base, [this] { end(Ending::notConnected); }),
          timeout_(base, [this] { end(sent_ ? Ending::timedOut : Ending::notConnected); }) {
        bufferevent_setcb(socket_.get(), readable, nullptr, happened, this);
        bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
        evbuffer_add_cb(bufferevent_get_output(socket_.get()), moved, this);
    }

    void start(const Work& work, double timeoutMs, Pool::Done done) {
        work_ = work;
        done_ = std::move(done);
        sent_ = written_ = false;
        timeout_.start(timeoutMs);
        if (state_ == State::ready) return command();
        dial_.start(pool_.limits_.dialMs);
        const sockaddr_in to = node_.socketAddress();
        if (bufferevent_socket_connect(socket_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
            dial_.start(0);  // told from the loop, as every end is
    }

private:
    friend class Pool;
    enum class State { greeting, structured, go, ready };

    static void readable(bufferevent*, void* self) { static_cast<Link*>(self)->read(); }
    static void happened(bufferevent*, short what, void* arg) {
        auto* self = static_cast<Link*>(arg);
        if ((what & BEV_EVENT_CONNECTED) != 0) return self->dial_.stop();
        self->closed_ = true;
        // What came before the close still counts.
        self->end(self->brokenAs());
    }
    static void moved(evbuffer* buffer, const evbuffer_cb_info* info, void* arg) {
        auto* self = static_cast<Link*>(arg);
        if (self->sent_ && info->n_deleted > 0 && evbuffer_get_length(buffer) == 0) self->written_ = true;
    }

    // Before the command's last byte is written, and so in all of the handshake, it never ran.
    Ending brokenAs() const { return written_ ? Ending::broken : Ending::notConnected; }

    void read() {
        evbuffer* input = bufferevent_get_input(socket_.get());
        const std::size_t size = evbuffer_get_length(input);
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
        std::string_view rest(bytes, size);
        Got got = Got::whole;
        ended_ = false;
        while (got == Got::whole && !ended_ && !rest.empty()) got = step(rest);
        if (ended_) return;  // by a message; the link may be another's by now
        evbuffer_drain(input, size - rest.size());
        if (got == Got::bad) {
            pool_.counters_.add("nbd_node_bad");
            closed_ = true;
            end(brokenAs());
        }
    }

    Got step(std::string_view& in) {
        switch (state_) {
            case State::greeting:
                return greeted(in);
            case State::structured:
            case State::go:
                return negotiated(in);
            case State::ready:
                return replied(in);
        }
        return Got::bad;
    }

    Got greeted(std::string_view& in) {
        Greeting greeting;
        const Got got = take(in, greeting);
        if (got != Got::whole) return got;
        state_ = State::structured;
        write(encodeClientFlags(kFixedNewstyle | (greeting.flags & kNoZeroes)) +
              encode(OptionMessage{Option::structuredReply, ""}));
        return got;
    }

    Got negotiated(std::string_view& in) {
        OptionAnswer answer;
        const Got got = take(in, answer, pool_.limits_.nbdOption);
        if (got != Got::whole) return got;
        if (answer.option != (state_ == State::structured ? Option::structuredReply : Option::go))
            return Got::bad;
        if (answer.reply == OptionReply::shutdown) {  // it drains: nothing ran here
            closed_ = true;
            end(Ending::turnedAway);
            return got;
        }
        if (state_ == State::structured) {
            structured_ = answer.reply == OptionReply::ack;
            state_ = State::go;
            write(encode(OptionMessage{Option::go, encode(InfoRequest{export_, {}})}));
            return got;
        }
        if (answer.reply == OptionReply::info) {
            if (const auto info = decodeExport(answer.data)) size_ = info->size;
            return got;
        }
        if (answer.reply != OptionReply::ack) return Got::bad;
        state_ = State::ready;
        if (work_.offset + work_.length > size_) {
            closed_ = true;
            end(Ending::notConnected);
            return got;
        }
        command();
        return got;
    }

    void command() {
        assembly_.emplace(work_.offset, work_.write ? 0 : work_.length, pool_.limits_.nbdChunks);
        sent_ = true;
        write(encode(CommandMessage{0, work_.write ? Command::write : Command::read, ++cookie_, work_.offset,
                                    work_.length, work_.data}));
    }

    Got replied(std::string_view& in) {
        if (!sent_ || !done_) return Got::bad;
        return structured_ && !simpleComes(in) ? chunked(in) : simple(in);
    }

    // A write may be answered simply even where structured replies were agreed on.
    bool simpleComes(std::string_view in) const { return work_.write && in.substr(0, 1) == "\x67"; }

    Got simple(std::string_view& in) {
        std::string_view rest = in;
        SimpleReply reply;
        const Got got = take(rest, reply);
        if (got != Got::whole) return got;
        if (reply.cookie != cookie_) return Got::bad;
        if (reply.error == Error::none && !work_.write) {
            if (rest.size() < work_.length) return Got::more;
            assembly_->data() = rest.substr(0, work_.length);
            rest.remove_prefix(work_.length);
        }
        in = rest;
        end(endingOf(reply.error));
        return got;
    }

    Got chunked(std::string_view& in) {
        ChunkMessage chunk;
        const Got got = take(in, chunk, pool_.limits_.body + 64);
        if (got != Got::whole) return got;
        if (chunk.cookie != cookie_ || !assembly_->add(chunk)) return Got::bad;
        if ((chunk.flags & kDone) == 0) return got;
        if (!assembly_->error() && !assembly_->whole()) return Got::bad;
        end(endingOf(assembly_->error() ? assembly_->error()->error : Error::none));
        return got;
    }

    // A node that shuts down has not run the command; of one that says it has no room that is sure for reads.
    Ending endingOf(Error error) const {
        if (error == Error::none) return Ending::served;
        const bool declined = error == Error::shutdown || (error == Error::noMemory && !work_.write);
        return declined ? Ending::turnedAway : Ending::error;
    }

    void write(const std::string& bytes) { bufferevent_write(socket_.get(), bytes.data(), bytes.size()); }

    void end(Ending ending) {
        dial_.stop();
        timeout_.stop();
        ended_ = true;
        if (!done_) return;
        Result result{ending, {}};
        if (ending == Ending::served && !work_.write) result.data = std::move(assembly_->data());
        const bool answered =
            ending == Ending::served || ending == Ending::error || ending == Ending::turnedAway;
        evbuffer* input = bufferevent_get_input(socket_.get());
        evbuffer_drain(input, evbuffer_get_length(input));  // one command at a time: no more can be due
        pool_.finish(*this, std::move(result), answered && state_ == State::ready && !closed_);
    }

    Pool& pool_;
    Address node_;
    std::string export_;
    Owned<bufferevent> socket_;
    Timer dial_;
    Timer timeout_;
    State state_ = State::greeting;
    bool structured_ = false;
    std::uint64_t size_ = 0;
    std::uint64_t cookie_ = 0;
    Work work_;
    std::optional<Assembly> assembly_;
    Pool::Done done_;
    Exchange* exchange_ = nullptr;
    double idleSinceMs_ = 0;
    bool sent_ = false;     // the command was handed to the socket
    bool written_ = false;  // and its last byte has left it
    bool closed_ = false;
    bool ended_ = false;
};

Exchange::Exchange(std::unique_ptr<Link> link, Pool& pool) : link_(std::move(link)), pool_(pool) {}
Exchange::~Exchange() {
    if (link_) pool_.discard(std::move(link_));
}

Pool::Pool(event_base* base, const Clock& clock, const Limits& limits, Counters& counters)
    : base_(base),
      clock_(clock),
      limits_(limits),
      counters_(counters),
      sweep_(base, [this] { sweep(); }),
      empty_(base, [this] { waste_.clear(); }) {
    sweep_.start(limits_.sweepMs);
}
Pool::~Pool() = default;

std::unique_ptr<Exchange> Pool::send(const Address& node, const Work& work, double timeoutMs, Done done) {
    std::unique_ptr<Link> link;
    const auto at = std::find_if(idle_.rbegin(), idle_.rend(), [&](const auto& l) {
        return l->node_ == node && l->export_ == work.exportName && !l->closed_;
    });
    if (at != idle_.rend()) {
        link = std::move(*at);
        idle_.erase(std::next(at).base());
    } else {
        if (links_ >= limits_.nodeConnections && !idle_.empty()) {
            discard(std::move(idle_.front()));
            idle_.erase(idle_.begin());
        }
        if (links_ >= limits_.nodeConnections) return nullptr;
        ++links_;
        counters_.add("nbd_node_connection_opened");
        link = std::make_unique<Link>(*this, base_, node, work.exportName);
    }
    Link& started = *link;
    auto exchange = std::make_unique<Exchange>(std::move(link), *this);
    started.exchange_ = exchange.get();
    started.start(work, timeoutMs, std::move(done));
    return exchange;
}

void Pool::finish(Link& link, Result result, bool keep) {
    const Done done = std::exchange(link.done_, nullptr);
    std::unique_ptr<Link> freed = std::move(std::exchange(link.exchange_, nullptr)->link_);
    if (keep) {
        freed->idleSinceMs_ = clock_.nowMs();
        idle_.push_back(std::move(freed));
    } else {
        discard(std::move(freed));
    }
    done(std::move(result));
}

void Pool::discard(std::unique_ptr<Link> link) {
    link->done_ = nullptr;
    link->dial_.stop();
    link->timeout_.stop();
    bufferevent_disable(link->socket_.get(), EV_READ | EV_WRITE);
    --links_;
    waste_.push_back(std::move(link));
    empty_.start(0);
}

void Pool::sweep() {
    const double before = clock_.nowMs() - limits_.nodeIdleMs * limits_.idlePart;
    for (auto& link : idle_) {
        if (link->closed_ || link->idleSinceMs_ < before) discard(std::move(link));
    }
    std::erase(idle_, nullptr);
    sweep_.start(limits_.sweepMs);
}

}  // namespace martencove::nbd
