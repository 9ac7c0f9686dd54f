#ifndef DRAGONFLYTACK_REGISTRY_TARGET_RUN_H_
#define DRAGONFLYTACK_REGISTRY_TARGET_RUN_H_

#include <cstdint>
#include <string_view>

namespace dragonflytack {

// Identifies one run of a target's process, in a form that is small enough for
// the record of each node.
struct TargetRun final {
  // Upper limit of both fields, within the numbers of a record.
  static constexpr uint64_t kMaxNumber = uint64_t{1} << 52;

  // Hash of the instance name that the run announced; 0 if it has none. A run
  // without a name cannot be told apart from others.
  uint64_t instance_hash = 0;
  // Start of the process, in milliseconds since the Unix epoch; 0 if it is not
  // announced.
  int64_t started_ms = 0;

  // `started_ms` may be any number that a target announced.
  static TargetRun Make(std::string_view instance, int64_t started_ms);

  bool empty() const { return instance_hash == 0; }
  // Whether both are the same run. An unknown start time equals any other.
  bool IsSame(const TargetRun& other) const {
    return instance_hash == other.instance_hash &&
           (started_ms == other.started_ms || started_ms == 0 ||
            other.started_ms == 0);
  }
  // Whether this run is known to have started before the other one.
  bool IsEarlierThan(const TargetRun& other) const {
    return started_ms != 0 && other.started_ms != 0 &&
           started_ms < other.started_ms;
  }

  friend bool operator==(const TargetRun&, const TargetRun&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_REGISTRY_TARGET_RUN_H_
