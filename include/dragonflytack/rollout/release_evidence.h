#ifndef DRAGONFLYTACK_ROLLOUT_RELEASE_EVIDENCE_H_
#define DRAGONFLYTACK_ROLLOUT_RELEASE_EVIDENCE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace dragonflytack {

// What the node beside a target counted on one route. All figures only rise.
struct RouteEvidence final {
  // Responses of the target, and calls that it did not answer in time.
  uint64_t responses = 0;
  // Responses with a status of 500 and above.
  uint64_t failures = 0;
  // Run times of the calls that did not fail, by BucketOf(); calls to a cold
  // target are left out.
  std::map<int, uint64_t> run_times;

  friend bool operator==(const RouteEvidence&, const RouteEvidence&) = default;
};

// The evidence about the release of one target since its process announced
// itself to the node beside it.
struct ReleaseEvidence final {
  // Four buckets for each doubling of the run time.
  static constexpr int kBucketsPerDoubling = 4;

  std::string service;
  std::string release;
  std::map<std::string, RouteEvidence> routes;

  static int BucketOf(std::chrono::nanoseconds run_time);

  friend bool operator==(const ReleaseEvidence&,
                         const ReleaseEvidence&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ROLLOUT_RELEASE_EVIDENCE_H_
