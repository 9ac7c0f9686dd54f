#ifndef DRAGONFLYTACK_ONETIME_BEGIN_REASON_H_
#define DRAGONFLYTACK_ONETIME_BEGIN_REASON_H_

#include <string_view>

namespace dragonflytack {

// Why a call with a key was not dispatched. The names are those of the header
// x-reason.
enum class BeginReason {
  kNone,
  // The key's time has passed and there is no record of it.
  kExpired,
  // This process does not answer for the key's home and incarnation.
  kOwnerGone,
  // The key was first used for another request.
  kKeyReused,
  kRecordsFull,
  kDraining,
  // The action is done, but its answer is no longer or was never kept.
  kAnswerNotKept,
  // A dispatch ended without an answer.
  kAnswerLost,
  // Every attempt was refused by a target's node.
  kRefusedByTargets,
};

std::string_view BeginReasonName(BeginReason reason);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_BEGIN_REASON_H_
