#ifndef DRAGONFLYTACK_BASE_MAILBOX_H_
#define DRAGONFLYTACK_BASE_MAILBOX_H_

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include "dragonflytack/base/wakeup.h"

namespace dragonflytack {

// The queue through which other tasks send messages to the task that owns
// `loop`. Messages are handled in the order in which they were posted, on the
// loop's thread and never from within Post(). The handler must not destroy the
// mailbox.
template <typename Message>
class Mailbox final {
 public:
  using Handler = std::function<void(Message)>;

  Mailbox(EventLoop* loop, Handler handler)
      : handler_(std::move(handler)), wakeup_(loop, [this] { Drain(); }) {}

  // May be called from any thread.
  void Post(Message message) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      messages_.push_back(std::move(message));
    }
    wakeup_.Signal();
  }

 private:
  void Drain() {
    std::vector<Message> messages;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      messages.swap(messages_);
    }
    for (Message& message : messages) {
      handler_(std::move(message));
    }
  }

  const Handler handler_;
  std::mutex mutex_;
  std::vector<Message> messages_;
  Wakeup wakeup_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_MAILBOX_H_
