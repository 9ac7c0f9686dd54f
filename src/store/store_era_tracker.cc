#include "store/store_era_tracker.h"

namespace dragonflytack {

StoreEraTracker::Result StoreEraTracker::Record(uint64_t era,
                                                TimePoint sent_at,
                                                TimePoint now) {
  if (!era_) {
    SetEra(era, now);
    return has_response_without_era_ ? Result::kFirst : Result::kCurrent;
  }
  if (era > *era_) {
    SetEra(era, now);
    return Result::kRaised;
  }
  if (era == *era_) {
    contradictions_ = 0;
    return Result::kCurrent;
  }
  if (sent_at <= recorded_at_) {
    return Result::kOutdated;
  }
  if (contradictions_ == 0 || era < contradicting_era_) {
    contradictions_ = 0;
    first_contradiction_at_ = now;
  }
  contradicting_era_ = era;
  ++contradictions_;
  if (contradictions_ < kMinContradictions ||
      now - first_contradiction_at_ < kMinContradictionTime) {
    return Result::kOutdated;
  }
  SetEra(era, now);
  return Result::kCorrected;
}

void StoreEraTracker::SetEra(uint64_t era, TimePoint now) {
  era_ = era;
  recorded_at_ = now;
  contradictions_ = 0;
}

}  // namespace dragonflytack
