#ifndef DRAGONFLYTACK_BASE_WAKEUP_H_
#define DRAGONFLYTACK_BASE_WAKEUP_H_

#include <functional>

struct event;

namespace dragonflytack {

class EventLoop;

// Lets any thread run a function on a loop's thread. Calls of Signal() before
// the function runs are coalesced into one run. The function is never called
// from within Signal() and must not destroy the object.
class Wakeup final {
 public:
  // `loop` must outlive the object.
  Wakeup(EventLoop* loop, std::function<void()> on_signal);
  ~Wakeup();
  Wakeup(const Wakeup&) = delete;
  Wakeup& operator=(const Wakeup&) = delete;

  // May be called from any thread.
  void Signal();

 private:
  static void OnEvent(int fd, short what, void* self);

  std::function<void()> on_signal_;
  event* event_ = nullptr;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_WAKEUP_H_
