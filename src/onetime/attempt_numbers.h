#ifndef DRAGONFLYTACK_ONETIME_ATTEMPT_NUMBERS_H_
#define DRAGONFLYTACK_ONETIME_ATTEMPT_NUMBERS_H_

#include <cstdint>
#include <map>
#include <utility>

#include "onetime/attempt_id.h"

namespace dragonflytack {

// Numbers the dispatches of this process to each target process.
class AttemptNumbers final {
 public:
  AttemptNumbers(NodeId self, uint64_t incarnation)
      : self_(std::move(self)), incarnation_(incarnation) {}

  AttemptId Next(const NodeId& target, uint64_t target_incarnation) {
    Last& last = last_[target];
    if (last.incarnation != target_incarnation) {
      last = {target_incarnation, 0};
    }
    return {self_, incarnation_, target_incarnation, ++last.sequence};
  }

 private:
  struct Last {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
  };

  const NodeId self_;
  const uint64_t incarnation_;
  std::map<NodeId, Last> last_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_ATTEMPT_NUMBERS_H_
