#ifndef DRAGONFLYTACK_DAEMON_ANNOUNCEMENT_CALLBACK_H_
#define DRAGONFLYTACK_DAEMON_ANNOUNCEMENT_CALLBACK_H_

#include <functional>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/calls/local_target.h"

namespace dragonflytack {

// Receives the outcome of an announcement: a failure other than kNone if it is
// not acknowledged.
using AnnouncementReply = std::function<void(const Failure&)>;

// Handles an announcement. Calls the reply once, before it returns or later on
// the same thread, or drops it when the process ends.
using AnnouncementCallback =
    std::function<void(const LocalTarget&, AnnouncementReply)>;

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ANNOUNCEMENT_CALLBACK_H_
