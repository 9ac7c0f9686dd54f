#include "daemon/process_usage.h"

#include <fstream>

#include <sys/resource.h>
#include <unistd.h>

namespace dragonflytack {

namespace {

int64_t ToMillis(const timeval& time) {
  constexpr int64_t kMillisPerSecond = 1000;
  constexpr int64_t kMicrosPerMilli = 1000;
  return time.tv_sec * kMillisPerSecond + time.tv_usec / kMicrosPerMilli;
}

}  // namespace

ProcessUsage ProcessUsage::Read() {
  ProcessUsage usage;
  // The second number of statm is the count of resident pages.
  std::ifstream statm("/proc/self/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  if (statm >> total_pages >> resident_pages) {
    usage.resident_bytes = resident_pages * sysconf(_SC_PAGESIZE);
  }
  rusage times;
  if (getrusage(RUSAGE_SELF, &times) == 0) {
    usage.processor_millis =
        ToMillis(times.ru_utime) + ToMillis(times.ru_stime);
  }
  return usage;
}

}  // namespace dragonflytack
