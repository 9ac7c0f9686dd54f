#ifndef DRAGONFLYTACK_DISTRIBUTION_TRAFFIC_COUNTERS_H_
#define DRAGONFLYTACK_DISTRIBUTION_TRAFFIC_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "dragonflytack/distribution/link_class.h"

namespace dragonflytack {

// Number of frames and bytes on the links between nodes since the start, by
// message kind and link class. Bytes are those of the frames, without transport
// headers.
struct TrafficCounters final {
  static constexpr size_t kLinkClasses = 3;
  static constexpr std::array<std::string_view, 15> kKindNames = {
      "hello",         "heartbeat",      "records",
      "suspicions",    "delta",          "hold",
      "table_request", "table",          "snapshot_request",
      "snapshot_end",  "snapshot_taken", "busy",
      "buckets",       "bucket_hashes",  "want"};

  struct Count {
    uint64_t frames = 0;
    uint64_t bytes = 0;
  };
  // Indexed by kind, then by LinkClass.
  using Counts = std::array<std::array<Count, kLinkClasses>, kKindNames.size()>;

  Counts sent{};
  Counts received{};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DISTRIBUTION_TRAFFIC_COUNTERS_H_
