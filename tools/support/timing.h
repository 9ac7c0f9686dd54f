#ifndef TOOLS_SUPPORT_TIMING_H_
#define TOOLS_SUPPORT_TIMING_H_

#include <chrono>
#include <thread>

namespace dragonflytack {

inline void SleepSeconds(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_TIMING_H_
