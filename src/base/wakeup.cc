#include "dragonflytack/base/wakeup.h"

#include <utility>

#include <event2/event.h>

#include "dragonflytack/base/event_loop.h"

namespace dragonflytack {

Wakeup::Wakeup(EventLoop* loop, std::function<void()> on_signal)
    : on_signal_(std::move(on_signal)) {
  event_ = event_new(loop->base(), -1, EV_PERSIST, &Wakeup::OnEvent, this);
  event_add(event_, nullptr);
}

Wakeup::~Wakeup() {
  event_free(event_);
}

void Wakeup::Signal() {
  event_active(event_, EV_READ, 1);
}

void Wakeup::OnEvent(int /*fd*/, short /*what*/, void* self) {
  static_cast<Wakeup*>(self)->on_signal_();
}

}  // namespace dragonflytack
