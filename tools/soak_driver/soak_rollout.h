#ifndef TOOLS_SOAK_DRIVER_SOAK_ROLLOUT_H_
#define TOOLS_SOAK_DRIVER_SOAK_ROLLOUT_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "soak_driver/soak_log.h"
#include "support/child_process.h"
#include "support/fleet.h"

namespace dragonflytack {

// A roll-out of the first service of a fleet, ordered by the command-line tool.
// Half of its targets announce the new release instead of the old one.
class SoakRollout final {
 public:
  // `is_bad` is whether half of the responses of the new release fail. The
  // pointers must outlive the object.
  SoakRollout(Fleet* fleet, bool is_bad, std::string log_path, SoakLog* log);

  // Starts the order. It is repeated until the store accepts it.
  void Start();
  // Handles the end of the order.
  void Poll();

  // Returns whether the order in the store shows that the roll-out has ended.
  bool HasEnded();
  // Lets all targets announce the release that the roll-out left in use.
  void Finish();

  bool is_bad() const { return is_bad_; }
  // "completed" or "reverted" when it has ended.
  const std::string& outcome() const { return outcome_; }

 private:
  // Sets the release of a part of the targets, every `step`th one.
  void SwitchTargets(size_t step, const std::string& switches) const;

  Fleet* const fleet_;
  const bool is_bad_;
  const std::string log_path_;
  SoakLog* const log_;
  std::optional<ChildProcess> order_;
  std::string outcome_;
  std::chrono::steady_clock::time_point next_read_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_SOAK_ROLLOUT_H_
