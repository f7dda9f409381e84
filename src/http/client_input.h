// The input of one client connection before evhttp: evhttp gets each request only once it has arrived whole.
// Until then its text is kept here, so that what it holds is bounded and counted, in whatever form or pieces
// it arrives.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "arrival/request_arrival.h"
#include "arrival/request_memory.h"
#include "core/clock.h"
#include "http/request_scanner.h"
#include "net/loop.h"

namespace martencove {

/// What the inputs of a server share.
struct ClientInputContext {
    RequestBounds bounds;
    std::size_t uncountedBytes;     ///< of each connection's input, not charged to the memory
    std::size_t maxReadAheadBytes;  ///< behind the request in progress
    RequestMemory& memory;
    const Clock& clock;
    /// An input waits for memory or is malformed: it does not go on by itself.
    std::function<void()> onBlocked;
};

/// The input of a connection that evhttp owns. Follows one request after the other:
///
/// receiving         the request arrives
/// waitingForMemory  its head is complete, or long; reading is paused until tryResume()
/// malformed         it cannot be read to its end; reading has stopped
/// delivered         it is whole and in the buffer from which evhttp reads
/// taken             evhttp has passed it on: from requestTaken() to requestAnswered()
class ClientInput {
public:
    enum class State { receiving, waitingForMemory, malformed, delivered, taken };

    /// The time of the first request counts from now. `context` has to outlive this object.
    ClientInput(bufferevent* bev, ClientInputContext& context);
    ~ClientInput();
    ClientInput(const ClientInput&) = delete;
    ClientInput& operator=(const ClientInput&) = delete;

    [[nodiscard]] bufferevent* connection() const { return bev_; }
    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] const RequestArrival& arrival() const { return arrival_; }
    /// The status of the answer to a malformed request.
    [[nodiscard]] int errorStatus() const { return scanner_.errorStatus(); }
    /// What the request that arrives holds of the shared memory, in bytes.
    [[nodiscard]] std::size_t chargedBytes() const { return charge_.bytes(); }

    /// evhttp has passed on the request. Until requestAnswered(), what arrives is kept for later.
    void requestTaken();
    /// The answer is about to be handed to evhttp, which reads the next request behind it.
    void requestAnswered();
    /// Goes on if there is memory now. Returns false if the request still waits. May call back with the
    /// request if that is whole.
    bool tryResume();

    /// Keeps bytes that were read behind the request in progress.
    void addReadAhead(std::string_view bytes);
    /// How many more bytes may be read behind the request in progress.
    [[nodiscard]] std::size_t readAheadRoom() const;
    [[nodiscard]] bool isReadAheadFull() const { return readAheadRoom() == 0; }
    /// Stops reading if isReadAheadFull(). evhttp reads while it writes an answer.
    void limitReadAhead();

    /// Whether bytes have arrived of which no request has been passed on.
    [[nodiscard]] bool hasBytes() const;
    /// Returns whether no bytes have arrived since the last request and all output is written.
    [[nodiscard]] bool isIdle() const;
    /// Returns whether part of a request has arrived, nothing that could be read is unread and all output is
    /// written. Meaningful only while no request of the connection is in progress.
    [[nodiscard]] bool hasPartialRequest() const;

private:
    static void onInput(evbuffer* buffer, const evbuffer_cb_info* info, void* self);
    void receive(evbuffer* input, std::size_t newBytes);
    /// Removes the bytes that were added last.
    [[nodiscard]] static std::string takeNewBytes(evbuffer* input, std::size_t newBytes);
    /// Scans the bytes in the buffer as far as they belong to the present request, and keeps the rest.
    void scanBuffer(evbuffer* input);
    void scanAhead();
    /// Scans bytes of the present request. Returns the number of bytes consumed.
    std::size_t scan(std::string_view bytes);
    /// Whether the request goes on and there is memory for it.
    [[nodiscard]] bool canScan();
    void finishScan();
    /// What the input holds and the rest of the request may add, less what is not counted.
    [[nodiscard]] std::size_t heldBytes() const;
    [[nodiscard]] std::size_t countedBytes(std::size_t heldBytes) const;
    [[nodiscard]] bool chargeNeeded();
    void block(State state);
    void deliver();
    void sendContinue();

    bufferevent* bev_;
    ClientInputContext& context_;
    State state_ = State::receiving;
    RequestScanner scanner_;
    RequestArrival arrival_;
    RequestMemory::Charge charge_;
    std::string kept_;   // of the present request, as evhttp will get it
    std::string ahead_;  // not scanned yet
    bool continueSent_ = false;
    bool changingBuffer_ = false;  // changes of the input buffer are this object's own
};

/// Returns whether the socket has unread bytes, also true on error. Closing it would lose a request in them.
[[nodiscard]] bool hasUnreadBytes(bufferevent* bev);
/// Returns whether output is still to be written.
[[nodiscard]] bool hasOutput(bufferevent* bev);

}  // namespace martencove
