#ifndef DRAGONFLYTACK_ONETIME_RECORD_STATE_H_
#define DRAGONFLYTACK_ONETIME_RECORD_STATE_H_

namespace dragonflytack {

// The state of a key's action at its owner. A key without a record is new.
// kDone and kNotRun are final; kUnknown may still become one of them when a
// late response of the last attempt arrives.
enum class RecordState { kDispatched, kDone, kNotRun, kUnknown };

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_RECORD_STATE_H_
