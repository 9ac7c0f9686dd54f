#ifndef DRAGONFLYTACK_SRC_REGISTRY_FAILURE_DETECTOR_H_
#define DRAGONFLYTACK_SRC_REGISTRY_FAILURE_DETECTOR_H_

#include <cstddef>
#include <map>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "registry/suspicion.h"

namespace dragonflytack {

class Registry;

// Holds the suspicions that are neither refuted nor old enough to be believed,
// and marks the nodes in the registry.
class FailureDetector final {
 public:
  static constexpr Milliseconds kSuspicionTime{4'000};
  // When much of a data centre is silent at once, the cause is more often the
  // network or a common pause than that many deaths.
  static constexpr Milliseconds kHerdSuspicionTime{12'000};
  static constexpr size_t kHerdDivisor = 10;

  // Both must outlive the detector.
  FailureDetector(Registry* registry, const Clock* clock);

  // Returns whether the suspicion is new and about the present record of a
  // live node.
  bool Suspect(const Suspicion& suspicion);

  // Declares those dead whose time has passed and returns them. `isolated` says
  // that no link is up, so that no refutation could arrive; then the longer
  // time holds.
  std::vector<Suspicion> Expire(bool isolated);

  // Takes back all suspicions, after a pause of this node during which
  // refutations may have been missed.
  void DropAll();

  size_t size() const { return pending_.size(); }

 private:
  struct Pending {
    Suspicion suspicion;
    TimePoint since;
    bool slow = false;
  };

  void DropRefuted();
  void MarkHerds();

  Registry* const registry_;
  const Clock* const clock_;
  std::map<NodeId, Pending> pending_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_REGISTRY_FAILURE_DETECTOR_H_
