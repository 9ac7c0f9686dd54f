#ifndef DRAGONFLYTACK_DAEMON_PROCESS_USAGE_H_
#define DRAGONFLYTACK_DAEMON_PROCESS_USAGE_H_

#include <cstdint>

namespace dragonflytack {

// Memory and processor time of this process, as reported by the kernel.
struct ProcessUsage final {
  int64_t resident_bytes = 0;
  // User and system time of all threads since the start of the process.
  int64_t processor_millis = 0;

  static ProcessUsage Read();
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_PROCESS_USAGE_H_
