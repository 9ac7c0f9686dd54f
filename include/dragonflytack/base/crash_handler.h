#ifndef DRAGONFLYTACK_BASE_CRASH_HANDLER_H_
#define DRAGONFLYTACK_BASE_CRASH_HANDLER_H_

#include <string_view>

namespace dragonflytack {

// Writes one log line with the signal and the stack when the process ends by a
// fault: SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT and std::terminate(). The
// process then ends by the same signal. The stack consists of offsets within
// the executable and its libraries, which addr2line resolves.
class CrashHandler final {
 public:
  CrashHandler() = delete;

  // Installs the handler for the process, once. `node` is the field "node" of
  // the line, which is left out if it is empty. A signal that already has a
  // handler keeps it, so that the reports of sanitizers are not replaced.
  // Threads need a SignalStack for the handler to run after a stack overflow.
  static void Install(std::string_view node);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_CRASH_HANDLER_H_
