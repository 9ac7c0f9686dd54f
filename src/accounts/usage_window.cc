#include "accounts/usage_window.h"

#include <algorithm>
#include <cmath>

namespace dragonflytack {

namespace {

// Keeps the numbers of slots positive for times shortly after the start of the
// clock.
constexpr int64_t kFirstSlot = 1'000;

}  // namespace

UsageWindow::UsageWindow(Milliseconds window)
    : slot_(std::max<TimePoint::duration>(window, Milliseconds(kSlots)) /
            kSlots) {}

int64_t UsageWindow::SlotOf(TimePoint time) const {
  return time.time_since_epoch() / slot_ + kFirstSlot;
}

void UsageWindow::Advance(TimePoint now) {
  const int64_t current = SlotOf(now);
  if (current - newest_ >= kSize) {
    counts_.fill(0);
  } else {
    for (int64_t slot = newest_ + 1; slot <= current; ++slot) {
      Slot(slot) = 0;
    }
  }
  newest_ = std::max(newest_, current);
}

void UsageWindow::Add(double count, TimePoint now) {
  Advance(now);
  Slot(newest_) += count;
}

double UsageWindow::TotalSince(TimePoint begin, TimePoint now) {
  Advance(now);
  const int64_t oldest = newest_ - kSlots;
  const int64_t first =
      begin == TimePoint::min() ? oldest : std::max(SlotOf(begin), oldest);
  double total = 0;
  for (int64_t number = first; number <= newest_; ++number) {
    total += Slot(number);
  }
  return total;
}

Milliseconds UsageWindow::UntilNextLeaves(TimePoint now) {
  Advance(now);
  int64_t oldest = newest_ - kSlots;
  while (oldest < newest_ && Slot(oldest) == 0) {
    ++oldest;
  }
  const TimePoint leaves((oldest + kSize - kFirstSlot) * slot_);
  return std::chrono::ceil<Milliseconds>(
      std::max<TimePoint::duration>(leaves - now, Milliseconds(1)));
}

UsageCounts UsageWindow::Counts(TimePoint now) {
  Advance(now);
  UsageCounts counts;
  for (int i = 0; i < kSize; ++i) {
    counts.push_back(static_cast<uint32_t>(std::ceil(Slot(newest_ - i))));
  }
  while (!counts.empty() && counts.back() == 0) {
    counts.pop_back();
  }
  return counts;
}

void UsageWindow::AddCounts(const UsageCounts& counts,
                            Milliseconds age,
                            TimePoint now) {
  Advance(now);
  const int64_t skipped = age / slot_;
  for (size_t i = 0; i < counts.size() && i < kSize; ++i) {
    // The slots of two nodes do not begin at the same time, so calls of the
    // sender's slot may be up to one slot younger.
    const int64_t back =
        skipped + std::max<int64_t>(static_cast<int64_t>(i) - 1, 0);
    if (back < kSize) {
      Slot(newest_ - back) += counts[i];
    }
  }
}

void UsageWindow::AddUniformly(double calls_per_window, TimePoint now) {
  Advance(now);
  for (int i = 1; i < kSize; ++i) {
    Slot(newest_ - i) += calls_per_window / kSlots;
  }
}

void UsageWindow::TakeFrom(UsageWindow* other, TimePoint now) {
  Advance(now);
  other->Advance(now);
  for (int i = 0; i < kSize; ++i) {
    Slot(newest_ - i) += other->Slot(newest_ - i);
  }
  other->Clear();
}

}  // namespace dragonflytack
