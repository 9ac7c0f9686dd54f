#ifndef DRAGONFLYTACK_ONETIME_NOT_RUN_SCOPE_H_
#define DRAGONFLYTACK_ONETIME_NOT_RUN_SCOPE_H_

namespace dragonflytack {

// The scope of the outcome "not run". kKey: no call with this key ran or ever
// will. kRequest: this request was not passed to a target and never will be;
// other requests with the same key may have run, and the key may be presented
// again.
enum class NotRunScope { kRequest, kKey };

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_NOT_RUN_SCOPE_H_
