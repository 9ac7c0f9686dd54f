#ifndef DRAGONFLYTACK_DAEMON_ENVIRONMENT_H_
#define DRAGONFLYTACK_DAEMON_ENVIRONMENT_H_

#include <functional>
#include <memory>
#include <optional>

#include "daemon/admin_handler.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/calls/call_header_codec.h"
#include "dragonflytack/calls/local_target.h"
#include "dragonflytack/store/store_client.h"

namespace dragonflytack {

class EventLoop;
class Logger;

// How the daemon speaks with what surrounds it: the store, the callers and
// targets, and the target's announcements.
struct Environment final {
  // Takes an announcement. Answers a failure other than kNone when it was
  // refused.
  using Announce = std::function<Failure(const LocalTarget&)>;

  // Returns null when the settings do not suit the store.
  std::function<
      std::unique_ptr<StoreClient>(const Settings&, EventLoop*, Logger*)>
      make_store;
  std::shared_ptr<const CallHeaderCodec> header_codec;
  // Answers on the port that the settings name for announcements; empty when
  // targets announce themselves at the admin port only.
  std::function<
      std::unique_ptr<AdminHandler>(const Settings&, Announce, Logger*)>
      make_announcements;

  // Reads the settings again after SIGHUP; empty when they cannot be.
  std::function<std::optional<Settings>(Failure* reason)> reload;

  // The project's own interfaces, as docs/ describes them.
  static Environment Own();
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ENVIRONMENT_H_
