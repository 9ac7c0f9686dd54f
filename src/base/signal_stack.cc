#include "dragonflytack/base/signal_stack.h"

#include <signal.h>
#include <sys/mman.h>

#include <cstddef>

namespace dragonflytack {

namespace {

// Room for the signal frame, the unwinder and a log line of 4 KiB. The pages
// take no memory until they are used.
constexpr size_t kStackBytes = size_t{128} * 1024;

}  // namespace

SignalStack::SignalStack() {
  stack_t current{};
  if (sigaltstack(nullptr, &current) != 0 ||
      (current.ss_flags & SS_DISABLE) == 0) {
    return;
  }
  void* const memory = mmap(nullptr, kStackBytes, PROT_READ | PROT_WRITE,
                            MAP_PRIVATE | MAP_ANONYMOUS | MAP_STACK, -1, 0);
  if (memory == MAP_FAILED) {
    return;
  }
  stack_t stack{};
  stack.ss_sp = memory;
  stack.ss_size = kStackBytes;
  if (sigaltstack(&stack, nullptr) != 0) {
    munmap(memory, kStackBytes);
    return;
  }
  memory_ = memory;
}

SignalStack::~SignalStack() {
  if (memory_ == nullptr) {
    return;
  }
  stack_t disabled{};
  disabled.ss_flags = SS_DISABLE;
  sigaltstack(&disabled, nullptr);
  munmap(memory_, kStackBytes);
}

}  // namespace dragonflytack
