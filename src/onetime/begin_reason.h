#ifndef DRAGONFLYTACK_ONETIME_BEGIN_REASON_H_
#define DRAGONFLYTACK_ONETIME_BEGIN_REASON_H_

#include <string_view>

namespace dragonflytack {

// Why a call with a key was not dispatched. BeginReasonName() returns the value
// for the header x-reason.
enum class BeginReason {
  kNone,
  // The key has expired and has no record.
  kExpired,
  // This process does not have the records of the key's owner and incarnation.
  kOwnerGone,
  // The key was first used for another request.
  kKeyReused,
  kRecordsFull,
  kDraining,
  // The action is done, but its response was not recorded or has been released.
  kResponseNotKept,
  // A dispatch ended without a response.
  kResponseLost,
  // Every attempt was refused by the node beside a target.
  kRefusedByTargets,
};

std::string_view BeginReasonName(BeginReason reason);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_BEGIN_REASON_H_
