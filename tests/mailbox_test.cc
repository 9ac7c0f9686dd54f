#include "dragonflytack/base/mailbox.h"

#include <thread>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/system_clock.h"

namespace dragonflytack {

// Guards against messages of several threads that are lost, arrive out of order
// or are not handled on the loop's thread.
Test(mailbox, delivers_each_threads_messages_in_order) {
  constexpr int kThreads = 4;
  constexpr int kMessages = 5'000;
  const SystemClock clock;
  const auto loop = EventLoop::Make(&clock);
  cr_assert(loop != nullptr);
  std::vector<int> next(kThreads);
  int remaining = kThreads * kMessages;
  const auto loop_thread = std::this_thread::get_id();
  bool in_order = true;
  Mailbox<std::pair<int, int>> mailbox(loop.get(), [&](auto message) {
    in_order = in_order && std::this_thread::get_id() == loop_thread &&
               message.second == next[message.first]++;
    if (--remaining == 0) {
      loop->Stop();
    }
  });
  std::vector<std::thread> threads;
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&mailbox, thread] {
      for (int i = 0; i < kMessages; ++i) {
        mailbox.Post({thread, i});
      }
    });
  }
  loop->Run();
  for (std::thread& thread : threads) {
    thread.join();
  }
  cr_assert_eq(remaining, 0);
  cr_assert(in_order);
}

}  // namespace dragonflytack
