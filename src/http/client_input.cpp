#include "http/client_input.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <new>
#include <utility>

namespace martencove {
namespace {

constexpr std::size_t kReadBytes = 4096;             // libevent reads at most this many bytes at once
constexpr std::size_t kMaxCopiedBytes = kReadBytes;  // longer requests are passed to evhttp by reference
constexpr std::size_t kMinReadAheadBytes = 1024;     // enough to notice the close behind a short request
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

/// The memory that a text has allocated, in bytes.
std::size_t allocatedBytes(const std::string& text) {
    return text.capacity() == std::string().capacity() ? 0 : text.capacity();
}

/// Appends to a buffer whose end libevent has frozen, since only its own reads may append.
void appendToInput(evbuffer* input, std::string text) {
    evbuffer_unfreeze(input, 0);  // 0: the end
    if (text.size() <= kMaxCopiedBytes) {
        evbuffer_add(input, text.data(), text.size());
    } else {
        auto owned = std::make_unique<std::string>(std::move(text));
        if (evbuffer_add_reference(
                input, owned->data(), owned->size(),
                [](const void*, std::size_t, void* arg) { delete static_cast<std::string*>(arg); },
                owned.get()) == 0)
            (void)owned.release();  // owned by the buffer now
    }
    evbuffer_freeze(input, 0);
}

}  // namespace

bool hasUnreadBytes(bufferevent* bev) {
    int unreadBytes = 0;
    return ioctl(bufferevent_getfd(bev), FIONREAD, &unreadBytes) != 0 || unreadBytes > 0;
}

bool hasOutput(bufferevent* bev) { return evbuffer_get_length(bufferevent_get_output(bev)) > 0; }

ClientInput::ClientInput(bufferevent* bev, ClientInputContext& context)
    : bev_(bev),
      context_(context),
      scanner_(context.bounds),
      arrival_(context.clock.nowMs()),
      charge_(context.memory) {
    evbuffer_add_cb(bufferevent_get_input(bev), onInput, this);
}

ClientInput::~ClientInput() { evbuffer_remove_cb(bufferevent_get_input(bev_), onInput, this); }

void ClientInput::onInput(evbuffer* buffer, const evbuffer_cb_info* info, void* arg) {
    auto* self = static_cast<ClientInput*>(arg);
    if (info->n_added > 0 && !self->changingBuffer_) self->receive(buffer, info->n_added);
}

void ClientInput::receive(evbuffer* input, std::size_t newBytes) {
    changingBuffer_ = true;
    if (isClosedByEvhttp(bev_)) {  // nobody would consume the bytes
        bufferevent_disable(bev_, EV_READ);
        evbuffer_drain(input, evbuffer_get_length(input));
    } else if (state_ == State::receiving) {
        scanBuffer(input);
        finishScan();
    } else {
        addReadAhead(takeNewBytes(input, newBytes));
    }
    changingBuffer_ = false;
}

void ClientInput::scanBuffer(evbuffer* input) {
    while (canScan() && evbuffer_get_length(input) > 0) {
        evbuffer_iovec piece{};
        evbuffer_peek(input, -1, nullptr, &piece, 1);
        evbuffer_drain(input, scan({static_cast<const char*>(piece.iov_base), piece.iov_len}));
    }
    const std::size_t rest = evbuffer_get_length(input);
    if (rest == 0) return;
    ahead_.resize(ahead_.size() + rest);
    evbuffer_remove(input, ahead_.data() + ahead_.size() - rest, rest);
}

void ClientInput::scanAhead() {
    while (!ahead_.empty() && canScan()) ahead_.erase(0, scan(ahead_));
    ahead_.shrink_to_fit();
    finishScan();
}

// In front of the new bytes there may be a request that evhttp has not read yet.
std::string ClientInput::takeNewBytes(evbuffer* input, std::size_t newBytes) {
    std::string text(newBytes, '\0');
    const LibeventPtr<evbuffer> delivered(evbuffer_new());
    if (!delivered) throw std::bad_alloc();
    evbuffer_remove_buffer(input, delivered.get(), evbuffer_get_length(input) - newBytes);
    evbuffer_remove(input, text.data(), text.size());
    evbuffer_prepend_buffer(input, delivered.get());
    return text;
}

bool ClientInput::canScan() {
    return scanner_.state() != RequestScanner::State::complete &&
           scanner_.state() != RequestScanner::State::malformed && chargeNeeded();
}

std::size_t ClientInput::scan(std::string_view bytes) {
    const bool inHead = !scanner_.headComplete();
    if (kept_.empty()) kept_.reserve(std::min(bytes.size(), kReadBytes));  // enough for most requests
    const std::size_t consumed = scanner_.scan(bytes, kept_);
    arrival_.addInput(context_.clock.nowMs(), scanner_.bodyBytes());
    if (inHead && scanner_.maxRemainingBytes() > 0 && chargeNeeded()) {
        kept_.reserve(kept_.size() + scanner_.maxRemainingBytes());
        charge_.set(heldBytes());  // the reserve may be larger
    }
    return consumed;
}

void ClientInput::finishScan() {
    if (scanner_.state() == RequestScanner::State::malformed) return block(State::malformed);
    if (!chargeNeeded()) return block(State::waitingForMemory);
    if (scanner_.state() == RequestScanner::State::complete) return deliver();
    sendContinue();
}

std::size_t ClientInput::heldBytes() const {
    const std::size_t aheadBytes = allocatedBytes(ahead_);
    if (state_ == State::taken) return aheadBytes;
    const std::size_t requestBytes =
        std::max(allocatedBytes(kept_), kept_.size() + scanner_.maxRemainingBytes());
    return countedBytes(requestBytes + aheadBytes);
}

std::size_t ClientInput::countedBytes(std::size_t heldBytes) const {
    return heldBytes > context_.uncountedBytes ? heldBytes - context_.uncountedBytes : 0;
}

bool ClientInput::chargeNeeded() { return charge_.trySet(heldBytes()); }

void ClientInput::block(State state) {
    state_ = state;
    bufferevent_disable(bev_, EV_READ);
    arrival_.pause(context_.clock.nowMs());
    if (state == State::malformed) {
        kept_ = std::string();
        ahead_ = std::string();
    }
    kept_.shrink_to_fit();
    // What was read before the memory could be asked for is held nevertheless.
    charge_.set(countedBytes(allocatedBytes(kept_) + allocatedBytes(ahead_)));
    context_.onBlocked();
}

bool ClientInput::tryResume() {
    if (state_ != State::waitingForMemory) return true;
    if (!chargeNeeded()) return false;
    arrival_.resume(context_.clock.nowMs());
    state_ = State::receiving;
    scanAhead();
    if (state_ == State::receiving) bufferevent_enable(bev_, EV_READ);
    if (state_ == State::waitingForMemory) return false;
    // evhttp reads the request now, unless it still writes the answer before it: then it has no callback for
    // reading. This object may be gone afterwards.
    if (state_ == State::delivered) bufferevent_trigger(bev_, EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
    return true;
}

void ClientInput::deliver() {
    state_ = State::delivered;
    const bool nested = std::exchange(changingBuffer_, true);
    appendToInput(bufferevent_get_input(bev_), std::exchange(kept_, {}));
    changingBuffer_ = nested;
}

// evhttp would ask for the body only once it has the head, which it gets with the body.
void ClientInput::sendContinue() {
    if (!scanner_.expectsContinue() || continueSent_ || hasOutput(bev_)) return;
    continueSent_ = true;
    (void)send(bufferevent_getfd(bev_), kContinue.data(), kContinue.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

void ClientInput::requestTaken() {
    // What evhttp left behind the request is no request: that has its end where the scanner found it.
    evbuffer* input = bufferevent_get_input(bev_);
    evbuffer_drain(input, evbuffer_get_length(input));
    state_ = State::taken;
    charge_.set(heldBytes());
}

void ClientInput::requestAnswered() {
    if (state_ != State::taken) return;
    scanner_ = RequestScanner(context_.bounds);
    arrival_ = RequestArrival();
    continueSent_ = false;
    state_ = State::receiving;
    if (!ahead_.empty()) scanAhead();
}

void ClientInput::addReadAhead(std::string_view bytes) {
    if (state_ != State::malformed) ahead_ += bytes;
    if (state_ == State::taken) charge_.set(heldBytes());
    if (state_ == State::delivered) charge_.set(charge_.bytes() + bytes.size());
    limitReadAhead();
}

std::size_t ClientInput::readAheadRoom() const {
    const std::size_t allowed =
        std::max(kMinReadAheadBytes, context_.memory.availableBytes() + charge_.bytes());
    const std::size_t maxBytes = std::min(context_.maxReadAheadBytes, allowed);
    return maxBytes > ahead_.size() ? maxBytes - ahead_.size() : 0;
}

void ClientInput::limitReadAhead() {
    const bool waits = state_ == State::waitingForMemory || state_ == State::malformed;
    if (waits || (state_ != State::receiving && isReadAheadFull())) bufferevent_disable(bev_, EV_READ);
}

bool ClientInput::hasBytes() const {
    return !kept_.empty() || !ahead_.empty() || evbuffer_get_length(bufferevent_get_input(bev_)) > 0;
}

bool ClientInput::isIdle() const {
    return state_ == State::receiving && !hasBytes() && !hasUnreadBytes(bev_) && !hasOutput(bev_);
}

bool ClientInput::hasPartialRequest() const {
    if (hasOutput(bev_)) return false;
    if (state_ == State::waitingForMemory || state_ == State::malformed) return true;
    // Unread bytes may complete the request, so they have to be read first.
    return state_ == State::receiving && hasBytes() && !hasUnreadBytes(bev_);
}

}  // namespace martencove
