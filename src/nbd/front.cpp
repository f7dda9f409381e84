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

constexpr std::size_t kOpenCommandBytes = 2048;  // of an open command besides its data
constexpr std::size_t kDataCopies = 2;           // here and in the attempt at a node

std::string refusalText(double retryAfterMs) {
    if (retryAfterMs <= 0) return "refused, never ran: come back at any time";
    char text[80];
    std::snprintf(text, sizeof text, "refused, never ran: come back in %.3f s", retryAfterMs / 1000);
    return text;
}

}  // namespace

class NbdRequestHandler;

/// A client connection. Performs the handshake, then processes several commands concurrently.
class Session {
public:
    Session(Front& front, evutil_socket_t fd)
        : front_(front),
          socket_(bufferevent_socket_new(front.base_, fd, BEV_OPT_CLOSE_ON_FREE)),
          inputCharge_(front.requestMemory_),
          handshakeTimer_(front.base_, [this] { rejectClient("handshake took too long"); }),
          disconnectCheckTimer_(front.base_, [this] { checkDisconnected(); }) {
        bufferevent_setcb(socket_.get(), onReadable, onWritten, onEvent, this);
        bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
        handshakeTimer_.start(front.limits_.nbdHandshakeTimeoutMs);
        writeBytes(encode(Greeting{kFixedNewstyle | kNoZeroes}));
    }

    /// Refuses further commands and closes the connection once the accepted ones are answered.
    void startShutdown() {
        if (state_ == State::clientFlags) return closeWhenDone();
        if (state_ != State::commands) return;  // the next option is answered with a shutdown error
        const bool idle =
            requests_.empty() && evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0;
        if (idle) replyMayBeInFlight_ = false;
        processInput();
        closeIfDone();
    }

    void sendReply(std::uint64_t cookie, Error error, const std::string& text, std::uint64_t offset,
                   std::string_view data);
    bool inHandshake() const { return state_ == State::clientFlags || state_ == State::options; }
    void removeRequest(NbdRequestHandler* handler) { requests_.erase(handler); }
    void resumeInput() {
        processInput();
        closeIfDone();
    }

private:
    friend class Front;
    enum class State { clientFlags, options, commands, closing };

    static void onReadable(bufferevent*, void* arg) {
        auto* self = static_cast<Session*>(arg);
        self->processInput();
        self->closeIfDone();
    }
    static void onWritten(bufferevent*, void* arg) {
        auto* self = static_cast<Session*>(arg);
        if (self->state_ == State::closing && self->requests_.empty())
            return self->front_.removeSession(*self);
        self->processInput();
        self->closeIfDone();
    }
    static void onEvent(bufferevent*, short, void* arg) { static_cast<Session*>(arg)->handleDisconnect(); }

    void processInput() {
        // A command may be answered inside submit(), and the answer resumes input. The nested call returns
        // here, as it would process the same bytes a second time.
        if (processingInput_) return;
        processingInput_ = true;
        evbuffer* input = bufferevent_get_input(socket_.get());
        DecodeResult result = DecodeResult::complete;
        while (result == DecodeResult::complete && mayProcessMore()) {
            const std::size_t size = evbuffer_get_length(input);
            if (size == 0) break;
            std::string_view rest(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size);
            result = handleMessage(rest);
            evbuffer_drain(input, size - rest.size());
        }
        processingInput_ = false;
        inputCharge_.set(evbuffer_get_length(input));
        if (result == DecodeResult::malformed) return rejectClient("malformed message");
        if (closed_) return;
        setReadingPaused(evbuffer_get_length(input) >= front_.limits_.maxNbdInputBytes());
    }

    // Stops reading from the socket while too much unprocessed input is buffered. A disconnect is not
    // reported meanwhile, so a timer polls for it. A libevent high watermark is not used because it calls
    // back in a busy loop.
    void setReadingPaused(bool on) {
        if (std::exchange(readingPaused_, on) == on) return;
        on ? bufferevent_disable(socket_.get(), EV_READ) : bufferevent_enable(socket_.get(), EV_READ);
        on ? disconnectCheckTimer_.start(front_.limits_.readAheadCheckIntervalMs)
           : disconnectCheckTimer_.stop();
    }

    void checkDisconnected() {
        pollfd pollEntry{bufferevent_getfd(socket_.get()), POLLRDHUP, 0};
        if (poll(&pollEntry, 1, 0) > 0 && (pollEntry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
            return handleDisconnect();
        disconnectCheckTimer_.start(front_.limits_.readAheadCheckIntervalMs);
    }

    // Applies backpressure to clients that send faster than they are served, do not read their replies, or
    // have commands in flight while there is no memory for more.
    bool mayProcessMore() const {
        const bool hasMemory =
            requests_.empty() || front_.requestMemory_.availableBytes() >=
                                     kOpenCommandBytes + kDataCopies * front_.limits_.maxRequestBodyBytes;
        return hasMemory && state_ != State::closing && !closed_ &&
               requests_.size() < front_.limits_.maxNbdCommandsInFlight &&
               evbuffer_get_length(bufferevent_get_output(socket_.get())) < front_.limits_.maxNbdUnsentBytes;
    }

    DecodeResult handleMessage(std::string_view& in) {
        if (state_ == State::options) return handleOption(in);
        if (state_ == State::commands) return handleCommand(in);
        std::uint32_t flags = 0;
        const DecodeResult result = decodeClientFlags(in, flags);
        if (result != DecodeResult::complete) return result;
        if ((flags & ~std::uint32_t{kFixedNewstyle | kNoZeroes}) != 0 || (flags & kFixedNewstyle) == 0)
            return DecodeResult::malformed;
        sendZeroes_ = (flags & kNoZeroes) == 0;
        state_ = State::options;
        return result;
    }

    DecodeResult handleOption(std::string_view& in) {
        OptionMessage message;
        const DecodeResult result = decode(in, message, front_.limits_.maxNbdOptionBytes);
        if (result != DecodeResult::complete) return result;
        if (++optionCount_ > front_.limits_.maxNbdOptions) return DecodeResult::malformed;
        const auto sendOptionReply = [&](OptionReplyType type, const std::string& data = "") {
            writeBytes(encode(OptionReplyMessage{message.option, type, data}));
        };
        if (front_.shuttingDown_ && message.option != Option::abort) {
            if (message.option != Option::exportName) sendOptionReply(OptionReplyType::shutdown);
            closeWhenDone();
            return result;
        }
        switch (message.option) {
            case Option::exportName: {
                export_ = front_.config_.findExport(message.data);
                if (export_ == nullptr) return DecodeResult::malformed;  // EXPORT_NAME has no error reply
                writeBytes(encodeExportNameReply(exportInfo(*export_), sendZeroes_));
                startTransmission();
                return result;
            }
            case Option::abort:
                sendOptionReply(OptionReplyType::ack);
                closeWhenDone();
                return result;
            case Option::list:
                if (!message.data.empty()) return sendOptionReply(OptionReplyType::invalid), result;
                for (const NbdExport& nbdExport : front_.config_.exports)
                    sendOptionReply(OptionReplyType::server, encodeListEntry(nbdExport.name));
                sendOptionReply(OptionReplyType::ack);
                return result;
            case Option::structuredReply:
                if (!message.data.empty()) return sendOptionReply(OptionReplyType::invalid), result;
                structuredReplies_ = true;
                sendOptionReply(OptionReplyType::ack);
                return result;
            case Option::info:
            case Option::go: {
                const auto request = decodeInfoRequest(message.data);
                if (!request) return sendOptionReply(OptionReplyType::invalid), result;
                const NbdExport* nbdExport = front_.config_.findExport(request->name);
                if (nbdExport == nullptr) return sendOptionReply(OptionReplyType::unknown), result;
                sendOptionReply(OptionReplyType::info, encodeExportInfo(exportInfo(*nbdExport)));
                sendOptionReply(
                    OptionReplyType::info,
                    encodeBlockSizes(static_cast<std::uint32_t>(front_.limits_.maxRequestBodyBytes)));
                sendOptionReply(OptionReplyType::ack);
                if (message.option == Option::go) {
                    export_ = nbdExport;
                    startTransmission();
                }
                return result;
            }
        }
        sendOptionReply(OptionReplyType::unsupported);
        return result;
    }

    ExportInfo exportInfo(const NbdExport& nbdExport) const {
        const std::uint16_t flags = kExportHasFlags | (nbdExport.readOnly ? kExportReadOnly : 0) |
                                    (structuredReplies_ ? kExportSendDf : 0);
        return {nbdExport.sizeBytes, flags};
    }

    void startTransmission() {
        handshakeTimer_.stop();
        state_ = State::commands;
        front_.dispatcher_.counters().add("nbd_handshake");
    }

    DecodeResult handleCommand(std::string_view& in);

    void writeBytes(const std::string& bytes) {
        bufferevent_write(socket_.get(), bytes.data(), bytes.size());
    }

    void rejectClient(const std::string& reason) {
        front_.dispatcher_.counters().add("nbd_client_bad");
        front_.log_.warn("nbd client", reason);
        handleDisconnect();
    }
    /// Cancels the open requests and removes the session.
    void handleDisconnect();
    /// Accepts no more commands, and closes the connection once all replies are written.
    void closeWhenDone() {
        handshakeTimer_.stop();
        state_ = State::closing;
        closeIfDone();
    }
    void closeIfDone() {
        if (closed_ || !requests_.empty()) return;
        if (state_ == State::commands && front_.shuttingDown_ && !hasUnreadCommands())
            state_ = State::closing;
        if (state_ != State::closing) return;
        if (evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0) front_.removeSession(*this);
    }
    // During a shutdown each command that has arrived is refused as never run. The number of refusals is
    // limited so that a client that keeps sending cannot delay the exit.
    bool hasUnreadCommands() const {
        if (shutdownRefusals_ >= front_.limits_.maxNbdRefusalsAtShutdown) return false;
        int unreadBytes = 0;
        if (ioctl(bufferevent_getfd(socket_.get()), FIONREAD, &unreadBytes) == 0 && unreadBytes > 0)
            return true;
        return !mayProcessMore() && evbuffer_get_length(bufferevent_get_input(socket_.get())) > 0;
    }

    Front& front_;
    LibeventPtr<bufferevent> socket_;
    RequestMemory::Charge inputCharge_;  // of what has arrived and is not processed
    Timer handshakeTimer_;
    Timer disconnectCheckTimer_;
    State state_ = State::clientFlags;
    bool sendZeroes_ = true;
    bool structuredReplies_ = false;
    bool closed_ = false;
    bool processingInput_ = false;
    bool readingPaused_ = false;
    std::size_t optionCount_ = 0;
    std::size_t shutdownRefusals_ = 0;  // commands refused during shutdown
    bool replyMayBeInFlight_ = false;   // a reply may be written but not yet delivered
    const NbdExport* export_ = nullptr;
    std::set<NbdRequestHandler*> requests_;
};

/// Handles one command until it is answered or its client disconnects.
class NbdRequestHandler final : public RequestHandler {
public:
    NbdRequestHandler(Front& front, Session& session, RequestId id, const NbdExport& nbdExport,
                      CommandMessage command)
        : front_(front),
          session_(&session),
          id_(std::move(id)),
          export_(nbdExport),
          command_(std::move(command)),
          charge_(front.requestMemory_) {
        charge_.set(kOpenCommandBytes + kDataCopies * command_.data.size());
    }

    ~NbdRequestHandler() override {
        if (session_ != nullptr) session_->removeRequest(this);
    }
    NbdRequestHandler(const NbdRequestHandler&) = delete;
    NbdRequestHandler& operator=(const NbdRequestHandler&) = delete;

    const RequestId& id() const { return id_; }
    void detachSession() { session_ = nullptr; }

    void sendAttempt(const Attempt& attempt, const NodeEntry& node) override {
        const int number = attempt.number;
        const auto address = front_.config_.nodeAddresses.find(node.name);
        std::unique_ptr<InFlightRequest<NbdNodeConnection>> inFlight;
        if (address != front_.config_.nodeAddresses.end()) {
            const NodeCommand command{export_.name, command_.command == Command::write, command_.offset,
                                      command_.length, command_.data};
            inFlight = front_.pool_.send(
                address->second, command, attempt.timeouts,
                [this, number](NodeReply reply) { onAttemptReply(number, std::move(reply)); });
        }
        if (!inFlight)
            return front_.dispatcher_.attemptEnded(RequestId(id_), number, AttemptStatus::notConnected);
        inFlightRequests_[number] = std::move(inFlight);
    }

    void cancelAttempt(int attempt) override { inFlightRequests_.erase(attempt); }
    bool cancelIfUnsent(int attempt) override { return eraseIfUnsent(inFlightRequests_, attempt); }

    void sendAnswer(const Answer& answer) override {
        Session* session = std::exchange(session_, nullptr);
        if (session == nullptr) return;
        session->removeRequest(this);
        const bool isRead = command_.command == Command::read;
        switch (answer.status) {
            case AnswerStatus::served:
                session->sendReply(command_.cookie, Error::none, "", command_.offset,
                                   isRead ? servedReply_.body : "");
                break;
            case AnswerStatus::refused:
                session->sendReply(command_.cookie, Error::noMemory, refusalText(answer.retryAfterMs), 0, "");
                break;
            case AnswerStatus::failed:
                session->sendReply(command_.cookie, Error::io, "failed: it may have run", 0, "");
                break;
        }
        session->resumeInput();
    }

private:
    void onAttemptReply(int attempt, NodeReply reply) {
        const AttemptStatus status = reply.status;
        if (status == AttemptStatus::served && servedReply_.status != AttemptStatus::served)
            servedReply_ = std::move(reply);
        inFlightRequests_.erase(attempt);
        front_.dispatcher_.attemptEnded(RequestId(id_), attempt, status);
    }

    Front& front_;
    Session* session_;  // null once answered or disconnected
    RequestId id_;
    const NbdExport& export_;
    CommandMessage command_;
    RequestMemory::Charge charge_;  // of command_
    NodeReply servedReply_;
    std::map<int, std::unique_ptr<InFlightRequest<NbdNodeConnection>>>
        inFlightRequests_;  // by attempt number
};

void Session::sendReply(std::uint64_t cookie, Error error, const std::string& text, std::uint64_t offset,
                        std::string_view data) {
    replyMayBeInFlight_ = true;
    if (!structuredReplies_) return writeBytes(encode(SimpleReply{error, cookie}).append(data));
    const auto chunk = [&](ChunkType type, std::string payload) {
        writeBytes(encode(ChunkMessage{kReplyFlagDone, type, cookie, std::move(payload)}));
    };
    if (error != Error::none) return chunk(ChunkType::error, encodeError({error, text}));
    data.empty() ? chunk(ChunkType::none, "") : chunk(ChunkType::data, encodeData(offset, data));
}

DecodeResult Session::handleCommand(std::string_view& in) {
    CommandMessage message;
    const DecodeResult result = decode(in, message, front_.limits_.maxRequestBodyBytes);
    if (result != DecodeResult::complete) return result;
    if (message.command == Command::disconnect) {
        closeWhenDone();
        return result;
    }
    const auto refuse = [&](Error error, const std::string& text) {
        front_.dispatcher_.counters().add("nbd_command_invalid");
        sendReply(message.cookie, error, text, 0, "");
        return result;
    };
    const bool isWrite = message.command == Command::write;
    if (isWrite && message.length > front_.limits_.maxRequestBodyBytes) {
        refuse(Error::invalid, "write longer than the largest block");
        closeWhenDone();  // the unread data cannot be separated from later commands
        return result;
    }
    if (front_.shuttingDown_) {
        ++shutdownRefusals_;
        return refuse(Error::shutdown, "shutting down, never ran");
    }
    if (!isWrite && message.command != Command::read) return refuse(Error::invalid, "command not offered");
    if ((message.flags & ~(structuredReplies_ ? kCommandFlagDf : 0)) != 0)
        return refuse(Error::invalid, "flag not offered");
    if (isWrite && export_->readOnly) return refuse(Error::invalid, "the export is read-only");
    if (message.length == 0 || message.length > front_.limits_.maxRequestBodyBytes)
        return refuse(Error::invalid, "length not allowed");
    if (message.offset > export_->sizeBytes || message.length > export_->sizeBytes - message.offset)
        return refuse(isWrite ? Error::noSpace : Error::invalid, "beyond the export's end");

    Request request;
    request.id = "nbd-" + std::to_string(++front_.lastRequestNumber_);
    request.classNo = isWrite ? export_->writeClassNo : export_->readClassNo;
    request.planNo = export_->planNo;
    request.piece = export_->name + '@' + std::to_string(message.offset);
    request.volume = export_->volume;
    request.expiresMs =
        front_.dispatcher_.nowMs() + (isWrite ? export_->writeDeadlineMs : export_->readDeadlineMs);
    request.units = std::ceil(message.length / front_.config_.unitBytes);
    request.shard = export_->shard;
    request.hostsOfVolume = export_->hostsOfVolume;
    const std::uint64_t cookie = message.cookie;
    const auto handler =
        std::make_shared<NbdRequestHandler>(front_, *this, request.id, *export_, std::move(message));
    requests_.insert(handler.get());
    if (front_.dispatcher_.submit(request, handler)) return result;
    requests_.erase(handler.get());
    front_.dispatcher_.counters().add("request_not_taken");
    sendReply(cookie, Error::noMemory, refusalText(front_.limits_.overloadRetryAfterMs), 0, "");
    return result;
}

void Session::handleDisconnect() {
    if (std::exchange(closed_, true)) return;
    for (NbdRequestHandler* handler : std::exchange(requests_, {})) {
        handler->detachSession();
        front_.dispatcher_.clientDisconnected(RequestId(handler->id()));
    }
    front_.removeSession(*this);
}

void Front::ListenerDeleter::operator()(evconnlistener* listener) const { evconnlistener_free(listener); }

Front::Front(event_base* base, NbdConfig config, Dispatcher& dispatcher, NbdNodeConnectionPool& pool,
             RequestMemory& requestMemory, const Limits& limits, Log& log, int listener)
    : base_(base),
      config_(std::move(config)),
      dispatcher_(dispatcher),
      pool_(pool),
      requestMemory_(requestMemory),
      limits_(limits),
      log_(log),
      lingeringCloses_(base, limits, dispatcher.counters()),
      freeSessionsTimer_(base, [this] { closedSessions_.clear(); }) {
    const sockaddr_in address = config_.listen.socketAddress();
    constexpr unsigned kOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    listener_.reset(listener >= 0 ? evconnlistener_new(base_, onAccept, this, kOptions, 0, listener)
                                  : evconnlistener_new_bind(base_, onAccept, this, kOptions, -1,
                                                            reinterpret_cast<const sockaddr*>(&address),
                                                            sizeof address));
    if (!listener_) throw std::runtime_error("nbd listen: cannot bind " + config_.listen.toString());
}
Front::~Front() = default;

int Front::listenerFd() const { return listener_ ? evconnlistener_get_fd(listener_.get()) : -1; }
void Front::pauseAccepting() { evconnlistener_disable(listener_.get()); }
void Front::resumeAccepting() {
    if (listener_) evconnlistener_enable(listener_.get());
}

void Front::onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
    auto* self = static_cast<Front*>(arg);
    if (self->sessions_.size() >= self->limits_.maxNbdClients) {
        self->dispatcher_.counters().add("nbd_client_turned_away");
        ::close(fd);
        return;
    }
    self->dispatcher_.counters().add("nbd_client_connection");
    auto session = std::make_unique<Session>(*self, fd);
    Session* sessionPtr = session.get();
    self->sessions_.emplace(sessionPtr, std::move(session));
}

void Front::startShutdown() {
    if (std::exchange(shuttingDown_, true)) return;
    listener_.reset();
    std::vector<Session*> sessions;
    for (const auto& [key, session] : sessions_) sessions.push_back(key);
    for (Session* session : sessions) session->startShutdown();
}

bool Front::isDrained() const {
    return lingeringCloses_.allDelivered() &&
           std::all_of(sessions_.begin(), sessions_.end(),
                       [](const auto& entry) { return entry.second->inHandshake(); });
}

void Front::removeSession(Session& session) {
    const auto it = sessions_.find(&session);
    if (it == sessions_.end()) return;
    const bool closedByClient = std::exchange(session.closed_, true);
    session.handshakeTimer_.stop();
    session.disconnectCheckTimer_.stop();
    bufferevent_disable(session.socket_.get(), EV_READ | EV_WRITE);
    // Closing a socket with unread input resets the connection and loses replies in flight.
    if (!closedByClient && session.replyMayBeInFlight_)
        lingeringCloses_.add(addReference(session.socket_.get()));
    closedSessions_.push_back(std::move(it->second));
    sessions_.erase(it);
    freeSessionsTimer_.start(0);
}

}  // namespace martencove::nbd
