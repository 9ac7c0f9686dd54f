#include "onetime/attempt_guard.h"

#include <algorithm>

namespace dragonflytack {

namespace {

constexpr auto kWindowRetention = std::chrono::hours(24);
// Keeps the arithmetic on sequence numbers from overflowing.
constexpr uint64_t kMaxSequence = uint64_t{1} << 62;

}  // namespace

AttemptGuard::Window* AttemptGuard::AdvanceWindow(const AttemptId& id,
                                                  TimePoint now) {
  if (id.target_incarnation != own_incarnation_ || id.sequence == 0 ||
      id.sequence > kMaxSequence) {
    return nullptr;
  }
  const std::pair<NodeId, uint64_t> source(id.dispatcher, id.incarnation);
  auto it = windows_.find(source);
  if (it == windows_.end()) {
    if (windows_.size() >= kMaxWindows) {
      return nullptr;
    }
    it = windows_.emplace(source, Window{}).first;
  }
  Window& window = it->second;
  window.last_used = now;
  if (id.sequence + kWindowSize <= window.newest) {
    return nullptr;
  }
  if (id.sequence > window.newest) {
    const uint64_t steps = std::min(id.sequence - window.newest, kWindowSize);
    for (uint64_t i = 0; i < steps; ++i) {
      const size_t slot = (id.sequence - i) % kWindowSize;
      window.seen.reset(slot);
      window.refused.reset(slot);
    }
    window.newest = id.sequence;
  }
  return &window;
}

AttemptGuard::Decision AttemptGuard::Admit(const AttemptId& id, TimePoint now) {
  Window* window = AdvanceWindow(id, now);
  if (window == nullptr) {
    return Decision::kTooOld;
  }
  const size_t slot = id.sequence % kWindowSize;
  if (window->refused[slot]) {
    return Decision::kNotStarted;
  }
  if (window->seen[slot]) {
    return Decision::kAlreadyStarted;
  }
  window->seen.set(slot);
  return Decision::kStart;
}

void AttemptGuard::Withdraw(const AttemptId& id) {
  const auto it = windows_.find({id.dispatcher, id.incarnation});
  // An attempt that is older than the window is refused in any case.
  if (it != windows_.end() && id.sequence + kWindowSize > it->second.newest) {
    it->second.refused.set(id.sequence % kWindowSize);
  }
}

AttemptGuard::Decision AttemptGuard::RefuseUnlessSeen(const AttemptId& id,
                                                      TimePoint now) {
  const Decision decision = Admit(id, now);
  if (decision != Decision::kStart) {
    return decision;
  }
  Withdraw(id);
  return Decision::kNotStarted;
}

void AttemptGuard::Sweep(TimePoint now) {
  std::erase_if(windows_, [now](const auto& entry) {
    return now - entry.second.last_used > kWindowRetention;
  });
}

}  // namespace dragonflytack
