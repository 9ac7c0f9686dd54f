#ifndef DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_METRICS_H_
#define DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_METRICS_H_

#include <cstddef>
#include <vector>

#include "dragonflytack/registry/rollout_share.h"
#include "rollout/rollout_state.h"

namespace dragonflytack {

class Gauge;
class MetricsRegistry;

// The metrics of roll-outs on one node: the shares in force on every node, the
// other ones on controllers.
class RolloutMetrics final {
 public:
  // The outcome of a request for evidence.
  enum class Evidence {
    kChanged,
    kUnchanged,
    kNoResponse,
    // Not sent, because the one before has no response yet.
    kNotSent
  };

  // `metrics` must outlive the object.
  explicit RolloutMetrics(MetricsRegistry* metrics);

  void SetController(bool is_controller);
  void SetShares(const std::vector<RolloutShare>& shares);
  // Counts a state that this node wrote to the store.
  void OnStateWritten(const RolloutState& state);
  void OnEvidence(Evidence outcome);

 private:
  MetricsRegistry* const metrics_;
  Gauge* const controller_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_METRICS_H_
