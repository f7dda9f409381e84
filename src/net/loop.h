// libevent's handles with owners, and timers.
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

/// A reference to the buffers of a connection that evhttp has. It shows a connection only with its first
/// request, and its end of one leaves the buffers without callbacks.
struct BuffereventUnref {
    void operator()(bufferevent* p) const { bufferevent_decref(p); }
};
using BuffereventRef = std::unique_ptr<bufferevent, BuffereventUnref>;
/// Buffers for a connection that evhttp is about to have, and a reference to them; null: no memory. They keep
/// their descriptor until they are freed. evhttp would else close it while they are held here and still read:
/// the next connection has its number, and bytes of a request would go to them.
[[nodiscard]] BuffereventRef newBufferevent(event_base* base);
/// Another reference to buffers that have an owner.
[[nodiscard]] BuffereventRef addReference(bufferevent* buffers);
/// Whether evhttp has closed a connection whose buffers are still held.
[[nodiscard]] bool closedByEvhttp(bufferevent* buffers);

/// Small writes, and the last piece of a long one, wait for no acknowledgement of what went before.
void setTcpNoDelay(evutil_socket_t fd);

/// Of the events of one turn of the loop those of a lower number come first.
inline constexpr int kHighPriority = 0;
inline constexpr int kDefaultPriority = 1;  // libevent gives it to all others: the middle of three
inline constexpr int kPriorityCount = 3;

[[nodiscard]] LibeventPtr<event_base> makeEventBase();

[[nodiscard]] inline timeval toTimeval(double ms) {
    const auto us = static_cast<long long>(ms * 1000);
    return {static_cast<time_t>(us / 1000000), static_cast<suseconds_t>(us % 1000000)};
}

/// Calls back once after each start(), or again and again where it is told so. Not movable: libevent holds
/// it.
class Timer {
public:
    Timer(event_base* base, std::function<void()> then);
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    void start(double ms);
    void stop();

private:
    std::function<void()> callback_;
    LibeventPtr<event> event_;
};

/// Calls back at a signal, which is passed over once the watch is gone.
class SignalHandler {
public:
    SignalHandler(event_base* base, int signal, std::function<void()> then);
    SignalHandler(const SignalHandler&) = delete;
    SignalHandler& operator=(const SignalHandler&) = delete;

private:
    std::function<void()> callback_;
    LibeventPtr<event> event_;
};

}  // namespace martencove
