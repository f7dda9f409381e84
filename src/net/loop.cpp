#include "net/loop.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <new>

namespace martencove {
namespace {

void callBack(evutil_socket_t, short, void* arg) { (*static_cast<std::function<void()>*>(arg))(); }

template <typename Handle>
LibeventPtr<Handle> checkNotNull(Handle* handle) {
    if (handle == nullptr) throw std::bad_alloc();
    return LibeventPtr<Handle>(handle);
}

}  // namespace

LibeventPtr<event_base> makeEventBase() {
    const std::unique_ptr<event_config, decltype(&event_config_free)> config(event_config_new(),
                                                                             &event_config_free);
    // Without this flag timers are up to 1 ms late, which would add up over attempts and rounds.
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    LibeventPtr<event_base> base = checkNotNull(event_base_new_with_config(config.get()));
    event_base_priority_init(base.get(), kPriorityCount);
    return base;
}

BuffereventRef newBufferevent(event_base* base) {
    bufferevent* buffers = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    return buffers == nullptr ? nullptr : addReference(buffers);
}

BuffereventRef addReference(bufferevent* buffers) {
    bufferevent_incref(buffers);
    return BuffereventRef(buffers);
}

bool isClosedByEvhttp(bufferevent* buffers) {
    bufferevent_event_cb onEvent = nullptr;
    bufferevent_getcb(buffers, nullptr, nullptr, &onEvent, nullptr);
    return onEvent == nullptr;
}

void closeEvhttpConnection(bufferevent* buffers) {
    bufferevent_trigger_event(buffers, BEV_EVENT_READING | BEV_EVENT_TIMEOUT, 0);
}

void setTcpNoDelay(evutil_socket_t fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Timer::Timer(event_base* base, std::function<void()> callback)
    : callback_(std::move(callback)), event_(checkNotNull(evtimer_new(base, callBack, &callback_))) {}

void Timer::start(double delayMs) {
    const timeval delay = toTimeval(std::max(delayMs, 0.0));
    evtimer_add(event_.get(), &delay);
}

void Timer::stop() { evtimer_del(event_.get()); }

SignalHandler::SignalHandler(event_base* base, int signal, std::function<void()> callback)
    : callback_(std::move(callback)), event_(checkNotNull(evsignal_new(base, signal, callBack, &callback_))) {
    // libevent restores this disposition when the handler is destroyed. The default action would let a
    // repeated signal kill the program during its shutdown.
    std::signal(signal, SIG_IGN);
    evsignal_add(event_.get(), nullptr);
}

}  // namespace martencove
