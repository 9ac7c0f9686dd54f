#ifndef DRAGONFLYTACK_ONETIME_ATTEMPT_ID_GENERATOR_H_
#define DRAGONFLYTACK_ONETIME_ATTEMPT_ID_GENERATOR_H_

#include <cstdint>
#include <map>
#include <utility>

#include "onetime/attempt_id.h"

namespace dragonflytack {

// Generates the attempt IDs of this process: numbers its dispatches to each
// target process.
class AttemptIdGenerator final {
 public:
  AttemptIdGenerator(NodeId self, uint64_t incarnation)
      : self_(std::move(self)), incarnation_(incarnation) {}

  AttemptId Next(const NodeId& target, uint64_t target_incarnation) {
    Counter& counter = counters_[target];
    if (counter.incarnation != target_incarnation) {
      counter = {target_incarnation, 0};
    }
    return {self_, incarnation_, target_incarnation, ++counter.sequence};
  }

 private:
  struct Counter {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
  };

  const NodeId self_;
  const uint64_t incarnation_;
  std::map<NodeId, Counter> counters_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_ATTEMPT_ID_GENERATOR_H_
