#ifndef DRAGONFLYTACK_SRC_CALLS_ATTEMPT_AGE_H_
#define DRAGONFLYTACK_SRC_CALLS_ATTEMPT_AGE_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Estimates how long ago a caller first sent a call that it may be sending
// again. The latency objective counts from the first attempt. The first
// attempts of the callers of a route have a few usual deadlines; a later
// attempt has what is left of one of them. The usual deadlines are learned
// while no call is refused, because many returning callers may have the same
// time left.
class AttemptAge final {
 public:
  // Routes beyond this number are not observed.
  static constexpr size_t kMaxRoutes = 1'024;

  // Returns the age of an attempt with the given time to its deadline. Returns
  // zero if its deadline is usual for the route, or none is known that is
  // longer.
  Milliseconds Observe(std::string_view route,
                       Milliseconds time_left,
                       TimePoint now);

  // Records that a call was refused, so that its caller may send it again until
  // `deadline`.
  void OnRefused(std::string_view route, TimePoint deadline);

 private:
  // Deadlines of about the same length with the number of recent attempts.
  struct Bucket {
    int index = 0;
    int attempts = 0;
    Milliseconds longest{0};
  };
  struct Deadlines {
    std::array<Bucket, 8> buckets;
    int attempts = 0;
    // The deadline of the refused call that may return last.
    TimePoint returns_until{};
  };

  // Returns the number of attempts from which a deadline is usual.
  static int UsualAttempts(const Deadlines& deadlines);
  // Counts a deadline in its bucket, which replaces the least used one if it is
  // new.
  static void Record(Milliseconds time_left, Deadlines* deadlines);

  std::unordered_map<std::string, Deadlines> routes_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_ATTEMPT_AGE_H_
