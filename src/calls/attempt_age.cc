#include "calls/attempt_age.h"

#include <algorithm>
#include <cmath>

namespace dragonflytack {

namespace {

// Lengths of deadlines whose ratio is less than this fall into one bucket: the
// time to connect makes those of first attempts differ a little.
constexpr double kBucketRatio = 1.05;

// The counts are halved when they reach this sum, so that they follow a change
// of the callers.
constexpr int kMaxAttempts = 256;

// A deadline is usual if at least one in this many attempts has it.
constexpr int kUsualOneIn = 8;
constexpr int kMinAttempts = 4;

int BucketOf(Milliseconds time_left) {
  return static_cast<int>(
      std::log(static_cast<double>(std::max<int64_t>(time_left.count(), 1))) /
      std::log(kBucketRatio));
}

}  // namespace

Milliseconds AttemptAge::Observe(std::string_view route,
                                 Milliseconds time_left,
                                 TimePoint now) {
  const std::string key(route);
  if (routes_.size() >= kMaxRoutes && !routes_.contains(key)) {
    return Milliseconds(0);
  }
  Deadlines& deadlines = routes_[key];
  int usual = UsualAttempts(deadlines);
  const bool is_known = std::any_of(
      deadlines.buckets.begin(), deadlines.buckets.end(),
      [usual](const Bucket& bucket) { return bucket.attempts >= usual; });
  if (!is_known || now >= deadlines.returns_until) {
    Record(time_left, &deadlines);
    usual = UsualAttempts(deadlines);
  }
  const int bucket = BucketOf(time_left);
  Milliseconds nearest = Milliseconds::max();
  for (const Bucket& other : deadlines.buckets) {
    if (other.attempts < usual || other.index + 1 < bucket) {
      continue;
    }
    if (other.index <= bucket + 1) {
      return Milliseconds(0);
    }
    nearest = std::min(nearest, other.longest);
  }
  return nearest == Milliseconds::max() ? Milliseconds(0) : nearest - time_left;
}

void AttemptAge::OnRefused(std::string_view route, TimePoint deadline) {
  const auto found = routes_.find(std::string(route));
  if (found != routes_.end()) {
    TimePoint& returns_until = found->second.returns_until;
    returns_until = std::max(returns_until, deadline);
  }
}

int AttemptAge::UsualAttempts(const Deadlines& deadlines) {
  return std::max(kMinAttempts, deadlines.attempts / kUsualOneIn);
}

void AttemptAge::Record(Milliseconds time_left, Deadlines* deadlines) {
  const int index = BucketOf(time_left);
  Bucket* bucket = &deadlines->buckets.front();
  for (Bucket& other : deadlines->buckets) {
    if (other.attempts > 0 && other.index == index) {
      bucket = &other;
      break;
    }
    if (other.attempts < bucket->attempts) {
      bucket = &other;
    }
  }
  if (bucket->index != index || bucket->attempts == 0) {
    deadlines->attempts -= bucket->attempts;
    *bucket = Bucket{.index = index};
  }
  ++bucket->attempts;
  bucket->longest = std::max(bucket->longest, time_left);
  if (++deadlines->attempts < kMaxAttempts) {
    return;
  }
  deadlines->attempts = 0;
  for (Bucket& other : deadlines->buckets) {
    other.attempts /= 2;
    deadlines->attempts += other.attempts;
  }
}

}  // namespace dragonflytack
