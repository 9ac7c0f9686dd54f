#ifndef DRAGONFLYTACK_ONETIME_HANDOVER_REPLY_H_
#define DRAGONFLYTACK_ONETIME_HANDOVER_REPLY_H_

namespace dragonflytack {

// A successor's answer to a handover message. After kDraining it has not taken
// over the records and never will. After kFull it has no room for now; after
// kWrongProcess an earlier process under its id may have taken them over.
enum class HandoverReply {
  kAccepted,
  kIncomplete,
  kDraining,
  kFull,
  kWrongProcess,
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_HANDOVER_REPLY_H_
