#include "nbd/front.h"

#include <event2/listener.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>
#include <stdexcept>

namespace martencove::nbd {
namespace {

/// The text of a refusal says when to come back.
std::string refusalText(double retryAfterMs) {
    if (retryAfterMs <= 0) return "refused, never ran: come back at any time";
    char text[80];
    std::snprintf(text, sizeof text, "refused, never ran: come back in %.3f s", retryAfterMs / 1000);
    return text;
}

}  // namespace

class NbdJob;

/// One client's connection: the handshake, then commands, several at a time.
class Session {
public:
    Session(Front& front, evutil_socket_t fd)
        : front_(front),
          socket_(bufferevent_socket_new(front.base_, fd, BEV_OPT_CLOSE_ON_FREE)),
          handshake_(front.base_, [this] { drop("handshake took too long"); }),
          left_(front.base_, [this] { lookWhetherLeft(); }) {
        bufferevent_setcb(socket_.get(), readable, written, happened, this);
        bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
        handshake_.start(front.limits_.nbdHandshakeMs);
        write(encode(Greeting{kFixedNewstyle | kNoZeroes}));
    }

    /// The server ends: what is open is finished first.
    void drain() {
        if (state_ == State::flags) return end();
        if (state_ != State::commands) return;  // the next option is told so
        const bool idle = jobs_.empty() && evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0;
        if (idle) replied_ = false;
        read();
        endIfDone();
    }

    void answer(std::uint64_t cookie, Error error, const std::string& text, std::uint64_t offset,
                std::string_view data);
    bool inHandshake() const { return state_ == State::flags || state_ == State::options; }
    void over(NbdJob* job) { jobs_.erase(job); }
    void resume() {
        read();
        endIfDone();
    }

private:
    friend class Front;
    enum class State { flags, options, commands, ending };

    static void readable(bufferevent*, void* arg) {
        auto* self = static_cast<Session*>(arg);
        self->read();
        self->endIfDone();
    }
    static void written(bufferevent*, void* arg) {
        auto* self = static_cast<Session*>(arg);
        if (self->state_ == State::ending && self->jobs_.empty()) return self->front_.remove(*self);
        self->read();
        self->endIfDone();
    }
    static void happened(bufferevent*, short, void* arg) { static_cast<Session*>(arg)->lost(); }

    void read() {
        // An answer given within the call that took its command asks for more: the loop below goes on anyhow,
        // and a second one would take the same bytes twice.
        if (reading_) return;
        reading_ = true;
        evbuffer* input = bufferevent_get_input(socket_.get());
        Got got = Got::whole;
        while (got == Got::whole && mayTakeMore()) {
            const std::size_t size = evbuffer_get_length(input);
            if (size == 0) break;
            std::string_view rest(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size);
            got = step(rest);
            evbuffer_drain(input, size - rest.size());
        }
        reading_ = false;
        if (got == Got::bad) return drop("malformed message");
        if (gone_) return;
        const std::size_t most = 2 * front_.limits_.body;
        pauseReading(evbuffer_get_length(input) >= most);
    }

    // While so much waits for its turn, no more is read from the socket, and a close behind it does not show.
    // (A high watermark of libevent's instead calls back again and again, without a rest.)
    void pauseReading(bool on) {
        if (std::exchange(paused_, on) == on) return;
        on ? bufferevent_disable(socket_.get(), EV_READ) : bufferevent_enable(socket_.get(), EV_READ);
        on ? left_.start(front_.limits_.earlyLookMs) : left_.stop();
    }

    void lookWhetherLeft() {
        pollfd look{bufferevent_getfd(socket_.get()), POLLRDHUP, 0};
        if (poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return lost();
        left_.start(front_.limits_.earlyLookMs);
    }

    // A client that sends faster than it is served, or does not read, waits: its bytes stay in its socket.
    bool mayTakeMore() const {
        return state_ != State::ending && !gone_ && jobs_.size() < front_.limits_.nbdCommands &&
               evbuffer_get_length(bufferevent_get_output(socket_.get())) < front_.limits_.nbdUnsent;
    }

    Got step(std::string_view& in) {
        if (state_ == State::options) return option(in);
        if (state_ == State::commands) return command(in);
        std::uint32_t flags = 0;
        const Got got = takeClientFlags(in, flags);
        if (got != Got::whole) return got;
        if ((flags & ~std::uint32_t{kFixedNewstyle | kNoZeroes}) != 0 || (flags & kFixedNewstyle) == 0)
            return Got::bad;
        zeroes_ = (flags & kNoZeroes) == 0;
        state_ = State::options;
        return got;
    }

    Got option(std::string_view& in) {
        OptionMessage message;
        const Got got = take(in, message, front_.limits_.nbdOption);
        if (got != Got::whole) return got;
        if (++options_ > front_.limits_.nbdOptions) return Got::bad;
        const auto say = [&](OptionReply reply, const std::string& data = "") {
            write(encode(OptionAnswer{message.option, reply, data}));
        };
        if (front_.closing_ && message.option != Option::abort) {
            if (message.option != Option::exportName) say(OptionReply::shutdown);
            end();
            return got;
        }
        switch (message.option) {
            case Option::exportName: {
                export_ = front_.config_.find(message.data);
                if (export_ == nullptr) return Got::bad;  // this option has no answer for it but the close
                write(encodeOldExport(infoOf(*export_), zeroes_));
                begin();
                return got;
            }
            case Option::abort:
                say(OptionReply::ack);
                end();
                return got;
            case Option::list:
                if (!message.data.empty()) return say(OptionReply::invalid), got;
                for (const NbdExport& e : front_.config_.exports)
                    say(OptionReply::server, encodeListed(e.name));
                say(OptionReply::ack);
                return got;
            case Option::structuredReply:
                if (!message.data.empty()) return say(OptionReply::invalid), got;
                structured_ = true;
                say(OptionReply::ack);
                return got;
            case Option::info:
            case Option::go: {
                const auto request = decodeInfoRequest(message.data);
                if (!request) return say(OptionReply::invalid), got;
                const NbdExport* found = front_.config_.find(request->name);
                if (found == nullptr) return say(OptionReply::unknown), got;
                say(OptionReply::info, encodeExport(infoOf(*found)));
                say(OptionReply::info, encodeBlockSizes(static_cast<std::uint32_t>(front_.limits_.body)));
                say(OptionReply::ack);
                if (message.option == Option::go) {
                    export_ = found;
                    begin();
                }
                return got;
            }
        }
        say(OptionReply::unsupported);
        return got;
    }

    ExportInfo infoOf(const NbdExport& e) const {
        const std::uint16_t flags = kHasFlags | (e.readOnly ? kReadOnly : 0) | (structured_ ? kSendDf : 0);
        return {e.bytes, flags};
    }

    void begin() {
        handshake_.stop();
        state_ = State::commands;
        front_.dispatcher_.counters().add("nbd_handshake");
    }

    Got command(std::string_view& in);

    void write(const std::string& bytes) { bufferevent_write(socket_.get(), bytes.data(), bytes.size()); }

    void drop(const std::string& why) {
        front_.dispatcher_.counters().add("nbd_client_bad");
        front_.log_.warn("nbd client", why);
        lost();
    }
    /// The connection is no more: what is open has no client.
    void lost();
    /// No more commands; the connection closes once all is answered and written.
    void end() {
        handshake_.stop();
        state_ = State::ending;
        endIfDone();
    }
    void endIfDone() {
        if (gone_ || !jobs_.empty()) return;
        if (state_ == State::commands && front_.closing_ && !commandsWait()) state_ = State::ending;
        if (state_ != State::ending) return;
        if (evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0) front_.remove(*this);
    }
    // At a shutdown each command that has come is told that it never ran. A client that goes on and on is
    // ended.
    bool commandsWait() const {
        if (refusedAtEnd_ >= front_.limits_.nbdRefusedAtEnd) return false;
        int waiting = 0;
        if (ioctl(bufferevent_getfd(socket_.get()), FIONREAD, &waiting) == 0 && waiting > 0) return true;
        return !mayTakeMore() && evbuffer_get_length(bufferevent_get_input(socket_.get())) > 0;
    }

    Front& front_;
    Owned<bufferevent> socket_;
    Timer handshake_;
    Timer left_;
    State state_ = State::flags;
    bool zeroes_ = true;
    bool structured_ = false;
    bool gone_ = false;
    bool reading_ = false;
    bool paused_ = false;  // no more is read from the socket
    std::size_t options_ = 0;
    std::size_t refusedAtEnd_ = 0;  // commands
    bool replied_ = false;          // its last reply may still be on its way
    const NbdExport* export_ = nullptr;
    std::set<NbdJob*> jobs_;
};

/// A command, until it is answered or its client is gone.
class NbdJob final : public Job {
public:
    NbdJob(Front& front, Session& session, RequestId id, const NbdExport& from, CommandMessage command)
        : front_(front),
          session_(&session),
          id_(std::move(id)),
          export_(from),
          command_(std::move(command)) {}

    ~NbdJob() override {
        if (session_ != nullptr) session_->over(this);
    }
    NbdJob(const NbdJob&) = delete;
    NbdJob& operator=(const NbdJob&) = delete;

    const RequestId& id() const { return id_; }
    void disconnect() { session_ = nullptr; }

    void send(const Attempt& attempt, const NodeEntry& node) override {
        const int number = attempt.number;
        const auto at = front_.config_.nodes.find(node.name);
        std::unique_ptr<Exchange<NodeLink>> exchange;
        if (at != front_.config_.nodes.end()) {
            const Work work{export_.name, command_.command == Command::write, command_.offset,
                            command_.length, command_.data};
            exchange = front_.pool_.send(at->second, work, attempt.times,
                                         [this, number](Reply reply) { ended(number, std::move(reply)); });
        }
        if (!exchange) return front_.dispatcher_.over(RequestId(id_), number, Ending::notConnected);
        exchanges_[number] = std::move(exchange);
    }

    void cancel(int attempt) override { exchanges_.erase(attempt); }
    bool withdraw(int attempt) override { return withdrawFrom(exchanges_, attempt); }

    void answer(const Answer& answer) override {
        Session* session = std::exchange(session_, nullptr);
        if (session == nullptr) return;
        session->over(this);
        const bool read = command_.command == Command::read;
        switch (answer.verdict) {
            case Verdict::served:
                session->answer(command_.cookie, Error::none, "", command_.offset, read ? reply_.body : "");
                break;
            case Verdict::refused:
                session->answer(command_.cookie, Error::noMemory, refusalText(answer.retryAfterMs), 0, "");
                break;
            case Verdict::failed:
                session->answer(command_.cookie, Error::io, "failed: it may have run", 0, "");
                break;
        }
        session->resume();
    }

private:
    void ended(int attempt, Reply reply) {
        const Ending ending = reply.ending;
        if (ending == Ending::served && reply_.ending != Ending::served) reply_ = std::move(reply);
        exchanges_.erase(attempt);
        front_.dispatcher_.over(RequestId(id_), attempt, ending);
    }

    Front& front_;
    Session* session_;  // null: answered, or the client is gone
    RequestId id_;
    const NbdExport& export_;
    CommandMessage command_;
    Reply reply_;
    std::map<int, std::unique_ptr<Exchange<NodeLink>>> exchanges_;  // by attempt
};

void Session::answer(std::uint64_t cookie, Error error, const std::string& text, std::uint64_t offset,
                     std::string_view data) {
    replied_ = true;
    if (!structured_) return write(encode(SimpleReply{error, cookie}).append(data));
    const auto chunk = [&](Chunk type, std::string payload) {
        write(encode(ChunkMessage{kDone, type, cookie, std::move(payload)}));
    };
    if (error != Error::none) return chunk(Chunk::error, encodeError({error, text}));
    data.empty() ? chunk(Chunk::none, "") : chunk(Chunk::data, encodeData(offset, data));
}

Got Session::command(std::string_view& in) {
    CommandMessage message;
    const Got got = take(in, message, front_.limits_.body);
    if (got != Got::whole) return got;
    if (message.command == Command::disconnect) {
        end();
        return got;
    }
    const auto refuse = [&](Error error, const std::string& text) {
        front_.dispatcher_.counters().add("nbd_command_invalid");
        answer(message.cookie, error, text, 0, "");
        return got;
    };
    const bool write = message.command == Command::write;
    if (write && message.length > front_.limits_.body) {
        refuse(Error::invalid, "write longer than the largest block");
        end();  // its data cannot be told from what follows
        return got;
    }
    if (front_.closing_) {
        ++refusedAtEnd_;
        return refuse(Error::shutdown, "shutting down, never ran");
    }
    if (!write && message.command != Command::read) return refuse(Error::invalid, "command not offered");
    if ((message.flags & ~(structured_ ? kFlagDf : 0)) != 0)
        return refuse(Error::invalid, "flag not offered");
    if (write && export_->readOnly) return refuse(Error::invalid, "the export is read-only");
    if (message.length == 0 || message.length > front_.limits_.body)
        return refuse(Error::invalid, "length not allowed");
    if (message.offset > export_->bytes || message.length > export_->bytes - message.offset)
        return refuse(write ? Error::noSpace : Error::invalid, "beyond the export's end");

    Request r;
    r.id = "nbd-" + std::to_string(++front_.taken_);
    r.classNo = write ? export_->writeClass : export_->readClass;
    r.planNo = export_->planNo;
    r.piece = export_->name + '@' + std::to_string(message.offset);
    r.volume = export_->volume;
    r.expiresMs = front_.dispatcher_.nowMs() + (write ? export_->writeDeadlineMs : export_->readDeadlineMs);
    r.units = std::ceil(message.length / front_.config_.unitBytes);
    r.shard = export_->shard;
    r.hosts = export_->hosts;
    const std::uint64_t cookie = message.cookie;
    const auto job = std::make_shared<NbdJob>(front_, *this, r.id, *export_, std::move(message));
    jobs_.insert(job.get());
    if (front_.dispatcher_.take(r, job)) return got;
    jobs_.erase(job.get());
    front_.dispatcher_.counters().add("request_not_taken");
    answer(cookie, Error::noMemory, refusalText(front_.limits_.notTakenBackMs), 0, "");
    return got;
}

void Session::lost() {
    if (std::exchange(gone_, true)) return;
    for (NbdJob* job : std::exchange(jobs_, {})) {
        job->disconnect();
        front_.dispatcher_.gone(RequestId(job->id()));
    }
    front_.remove(*this);
}

void Front::FreeListener::operator()(evconnlistener* listener) const { evconnlistener_free(listener); }

Front::Front(event_base* base, NbdConfig config, Dispatcher& dispatcher, Pool& pool, const Limits& limits,
             Log& log, int listener)
    : base_(base),
      config_(std::move(config)),
      dispatcher_(dispatcher),
      pool_(pool),
      limits_(limits),
      log_(log),
      lingering_(base, limits, dispatcher.counters()),
      empty_(base, [this] { waste_.clear(); }) {
    const sockaddr_in address = config_.listen.socketAddress();
    constexpr unsigned kOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    listener_.reset(listener >= 0 ? evconnlistener_new(base_, accepted, this, kOptions, 0, listener)
                                  : evconnlistener_new_bind(base_, accepted, this, kOptions, -1,
                                                            reinterpret_cast<const sockaddr*>(&address),
                                                            sizeof address));
    if (!listener_) throw std::runtime_error("nbd listen: cannot bind " + config_.listen.text());
}
Front::~Front() = default;

int Front::listener() const { return listener_ ? evconnlistener_get_fd(listener_.get()) : -1; }
void Front::hold() { evconnlistener_disable(listener_.get()); }
void Front::open() {
    if (listener_) evconnlistener_enable(listener_.get());
}

void Front::accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
    auto* self = static_cast<Front*>(arg);
    if (self->sessions_.size() >= self->limits_.nbdClients) {
        self->dispatcher_.counters().add("nbd_client_turned_away");
        ::close(fd);
        return;
    }
    self->dispatcher_.counters().add("nbd_client_connection");
    auto session = std::make_unique<Session>(*self, fd);
    Session* key = session.get();
    self->sessions_.emplace(key, std::move(session));
}

void Front::close() {
    if (std::exchange(closing_, true)) return;
    listener_.reset();
    std::vector<Session*> sessions;
    for (const auto& [key, session] : sessions_) sessions.push_back(key);
    for (Session* session : sessions) session->drain();
}

bool Front::quiet() const {
    return lingering_.delivered() && std::all_of(sessions_.begin(), sessions_.end(),
                                                 [](const auto& e) { return e.second->inHandshake(); });
}

void Front::remove(Session& session) {
    const auto at = sessions_.find(&session);
    if (at == sessions_.end()) return;
    const bool byItsClient = std::exchange(session.gone_, true);
    session.handshake_.stop();
    session.left_.stop();
    bufferevent_disable(session.socket_.get(), EV_READ | EV_WRITE);
    if (!byItsClient && session.replied_) lingering_.take(referenceTo(session.socket_.get()));
    waste_.push_back(std::move(at->second));
    sessions_.erase(at);
    empty_.start(0);
}

}  // namespace martencove::nbd
