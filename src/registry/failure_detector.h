#ifndef DRAGONFLYTACK_SRC_REGISTRY_FAILURE_DETECTOR_H_
#define DRAGONFLYTACK_SRC_REGISTRY_FAILURE_DETECTOR_H_

#include <cstddef>
#include <map>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "registry/suspicion.h"

namespace dragonflytack {

class Registry;

// Holds the suspicions that are neither refuted nor expired, and sets the
// liveness of the suspected nodes in the registry.
class FailureDetector final {
 public:
  static constexpr Milliseconds kSuspicionTimeout{4'000};
  // Applies if several nodes, more than 1/kCorrelatedDivisor of the live nodes
  // of a data centre, are suspected at once. The cause is then more often the
  // network or a common pause than that many failures.
  static constexpr Milliseconds kCorrelatedSuspicionTimeout{12'000};
  static constexpr size_t kCorrelatedDivisor = 10;

  // Both must outlive the detector.
  FailureDetector(Registry* registry, const Clock* clock);

  // Returns true if the suspicion is new and refers to the current revision of
  // a live node.
  bool Suspect(const Suspicion& suspicion);

  // Declares nodes dead whose suspicion has expired and returns these
  // suspicions. If `isolated` is true, no link is up and no refutation could
  // arrive, so the longer timeout applies.
  std::vector<Suspicion> Expire(bool isolated);

  // Retracts all suspicions, after a pause of this node during which
  // refutations may have been missed.
  void RetractAll();

  size_t size() const { return pending_.size(); }

 private:
  struct Pending {
    Suspicion suspicion;
    TimePoint since;
    bool is_correlated = false;
  };

  void RemoveRefuted();
  void MarkCorrelated();

  Registry* const registry_;
  const Clock* const clock_;
  std::map<NodeId, Pending> pending_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_REGISTRY_FAILURE_DETECTOR_H_
