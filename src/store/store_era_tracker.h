#ifndef DRAGONFLYTACK_SRC_STORE_STORE_ERA_TRACKER_H_
#define DRAGONFLYTACK_SRC_STORE_STORE_ERA_TRACKER_H_

#include <cstdint>
#include <optional>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// The era of the platform's store, from the eras that its responses name. It
// rises by one with each return of the store from an older copy, so a lower era
// is that of a response from before a return. A higher one is accepted at once,
// also if it rose by more than one: this node may have missed returns. A single
// response with a wrong, too high era would make all later responses outdated,
// so later requests that are answered in a lower era correct it.
class StoreEraTracker final {
 public:
  enum class Result {
    // The response is of the known era, or the first response of all and names
    // one.
    kCurrent,
    // The first response that names an era, after responses that named none.
    kFirst,
    // The response is of a later era, which is known from now on.
    kRaised,
    // The known era was wrong and is lower from now on.
    kCorrected,
    // The response is of an earlier era.
    kOutdated,
  };

  // The known era is corrected when this many responses in a row name a lower
  // one, the last of them at least this long after the first. Only responses to
  // requests that were sent after the known era was recorded count; the store
  // cannot answer them in an earlier era. Both limits are a margin against a
  // few wrong responses.
  static constexpr int kMinContradictions = 3;
  static constexpr Milliseconds kMinContradictionTime{2'000};

  // Records the era that a response names. `sent_at` is when its request was
  // sent, `now` the present time.
  Result Record(uint64_t era, TimePoint sent_at, TimePoint now);

  // Records a response without an era.
  void RecordMissing() { has_response_without_era_ = true; }

  std::optional<uint64_t> era() const { return era_; }

 private:
  void SetEra(uint64_t era, TimePoint now);

  std::optional<uint64_t> era_;
  bool has_response_without_era_ = false;
  // When era_ was recorded.
  TimePoint recorded_at_;
  // Number of contradictions in a row, the time of the first one and the era
  // that the last one names. That era never falls within a row.
  int contradictions_ = 0;
  TimePoint first_contradiction_at_;
  uint64_t contradicting_era_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_STORE_STORE_ERA_TRACKER_H_
