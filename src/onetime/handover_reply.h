#ifndef DRAGONFLYTACK_ONETIME_HANDOVER_REPLY_H_
#define DRAGONFLYTACK_ONETIME_HANDOVER_REPLY_H_

namespace dragonflytack {

// A successor's reply to a handover message. After kDraining it has not taken
// over the records and never will. After kFull it has no room at present. After
// kWrongProcess an earlier process of that node may have taken them over.
enum class HandoverReply {
  kAccepted,
  kIncomplete,
  kDraining,
  kFull,
  kWrongProcess,
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_HANDOVER_REPLY_H_
