#ifndef DRAGONFLYTACK_BASE_EVENT_LOOP_H_
#define DRAGONFLYTACK_BASE_EVENT_LOOP_H_

#include <memory>

#include "dragonflytack/base/timer_service.h"

struct event;
struct event_base;

namespace dragonflytack {

// A libevent loop with its timer service. Each task runs its own loop on its
// own thread.
class EventLoop final {
 public:
  // Returns null if libevent cannot create a loop. `clock` must outlive it.
  static std::unique_ptr<EventLoop> Make(const Clock* clock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Dispatches events until Stop().
  void Run();

  // Makes Run() return after the events that are already active have been
  // handled. May be called from any thread.
  void Stop();

  event_base* base() const { return base_; }
  TimerService& timers() { return timers_; }
  const Clock& clock() const { return timers_.clock(); }

 private:
  EventLoop(const Clock* clock, event_base* base);
  void ArmTimer();
  static void OnTimer(int fd, short what, void* self);

  event_base* const base_;
  event* timer_event_ = nullptr;
  TimerService timers_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_EVENT_LOOP_H_
