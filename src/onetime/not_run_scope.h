#ifndef DRAGONFLYTACK_ONETIME_NOT_RUN_SCOPE_H_
#define DRAGONFLYTACK_ONETIME_NOT_RUN_SCOPE_H_

namespace dragonflytack {

// What an answer "not run" speaks about. kKey: no call with this key ran or
// ever will. kRequest: the answered request was not passed on and never will
// be; other requests with the same key are not covered, and the key may be
// presented again.
enum class NotRunScope { kRequest, kKey };

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_NOT_RUN_SCOPE_H_
