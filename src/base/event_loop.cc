#include "dragonflytack/base/event_loop.h"

#include <cstdlib>

#include <event2/event.h>
#include <event2/thread.h>

#include "dragonflytack/base/timeval.h"

namespace dragonflytack {

std::unique_ptr<EventLoop> EventLoop::Make(const Clock* clock) {
  // By default libevent calls exit(1) on an error of its own state, which
  // bypasses the crash handler.
  static const int threads_enabled = [] {
    event_set_fatal_callback([](int /*error*/) { std::abort(); });
    return evthread_use_pthreads();
  }();
  if (threads_enabled != 0) {
    return nullptr;
  }
  // HTTP connections disable and enable reading with each message. The change
  // list coalesces these changes into one system call per loop iteration. It
  // requires that no file descriptor of the loop is duplicated, and none is.
  event_config* config = event_config_new();
  if (config == nullptr) {
    return nullptr;
  }
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  // libevent's default clock has a resolution of 4 ms, which increased the tail
  // latency of calls.
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  if (base == nullptr) {
    return nullptr;
  }
  return std::unique_ptr<EventLoop>(new EventLoop(clock, base));
}

EventLoop::EventLoop(const Clock* clock, event_base* base)
    : base_(base), timers_(clock) {
  timer_event_ = evtimer_new(base_, &EventLoop::OnTimer, this);
  timers_.set_on_changed([this] { ArmTimer(); });
}

EventLoop::~EventLoop() {
  event_free(timer_event_);
  event_base_free(base_);
}

void EventLoop::Run() {
  ArmTimer();
  event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::Stop() {
  event_base_loopexit(base_, nullptr);
}

void EventLoop::ArmTimer() {
  const std::optional<TimePoint> due = timers_.NextDue();
  if (!due) {
    return;
  }
  const timeval timeout =
      ToTimeval(std::chrono::duration_cast<std::chrono::microseconds>(
          *due - clock().Now()));
  evtimer_add(timer_event_, &timeout);
}

void EventLoop::OnTimer(int /*fd*/, short /*what*/, void* self) {
  auto* loop = static_cast<EventLoop*>(self);
  loop->timers_.RunDue();
  loop->ArmTimer();
}

}  // namespace dragonflytack
