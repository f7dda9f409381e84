// Owning wrappers for libevent handles, timers and signal handlers.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <functional>
#include <memory>

namespace martencove {

struct LibeventDeleter {
    void operator()(event_base* p) const { event_base_free(p); }
    void operator()(event* p) const { event_free(p); }
    void operator()(evhttp* p) const { evhttp_free(p); }
    void operator()(evhttp_connection* p) const { evhttp_connection_free(p); }
    void operator()(evbuffer* p) const { evbuffer_free(p); }
    void operator()(bufferevent* p) const { bufferevent_free(p); }
};
template <typename Handle>
using LibeventPtr = std::unique_ptr<Handle, LibeventDeleter>;

/// Drops a reference to a bufferevent.
struct BuffereventUnref {
    void operator()(bufferevent* p) const { bufferevent_decref(p); }
};
/// A counted reference to the bufferevent of a connection that evhttp owns. evhttp reveals a connection only
/// with its first request, and clears the callbacks of the bufferevent when it closes the connection.
using BuffereventRef = std::unique_ptr<bufferevent, BuffereventUnref>;
/// Creates a bufferevent for a connection that evhttp will own, with a reference to it; null if out of
/// memory. It keeps its descriptor until it is freed. Otherwise evhttp would close the descriptor while the
/// bufferevent is still referenced and read, and bytes of the next connection with the same number would go
/// to it.
[[nodiscard]] BuffereventRef newBufferevent(event_base* base);
/// Returns another reference to a bufferevent.
[[nodiscard]] BuffereventRef addReference(bufferevent* buffers);
/// Whether evhttp has closed the connection of a bufferevent that is still referenced.
[[nodiscard]] bool isClosedByEvhttp(bufferevent* buffers);
/// Closes a connection that evhttp owns and that is not being answered. It happens at once, by making evhttp
/// handle a read timeout: after a plain shutdown of the socket evhttp would first read and accept a request
/// that arrives in that moment, and could not answer it.
void closeEvhttpConnection(bufferevent* buffers);

/// Disables Nagle's algorithm, so that small writes and the end of long ones do not wait for
/// acknowledgements.
void setTcpNoDelay(evutil_socket_t fd);

/// Event priorities: within one turn of the loop, events with a lower number are handled first.
inline constexpr int kHighPriority = 0;
inline constexpr int kDefaultPriority = 1;  // libevent's default: the middle one
inline constexpr int kPriorityCount = 3;

/// Creates an event loop with precise timers. Throws std::bad_alloc.
[[nodiscard]] LibeventPtr<event_base> makeEventBase();

[[nodiscard]] inline timeval toTimeval(double ms) {
    const auto us = static_cast<long long>(ms * 1000);
    return {static_cast<time_t>(us / 1000000), static_cast<suseconds_t>(us % 1000000)};
}

/// One-shot timer. Not movable, since libevent holds a pointer to it.
class Timer {
public:
    Timer(event_base* base, std::function<void()> callback);
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Calls back once after `delayMs`, instead of at an earlier start's time.
    void start(double delayMs);
    void stop();

private:
    std::function<void()> callback_;
    LibeventPtr<event> event_;
};

/// Calls back on a signal. The signal is ignored once the handler is destroyed.
class SignalHandler {
public:
    SignalHandler(event_base* base, int signal, std::function<void()> callback);
    SignalHandler(const SignalHandler&) = delete;
    SignalHandler& operator=(const SignalHandler&) = delete;

private:
    std::function<void()> callback_;
    LibeventPtr<event> event_;
};

}  // namespace martencove
