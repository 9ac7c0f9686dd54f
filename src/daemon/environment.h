#ifndef DRAGONFLYTACK_DAEMON_ENVIRONMENT_H_
#define DRAGONFLYTACK_DAEMON_ENVIRONMENT_H_

#include <functional>
#include <memory>
#include <optional>

#include "daemon/admin_handler.h"
#include "daemon/announcement_callback.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/calls/call_interface.h"
#include "dragonflytack/store/rollout_orders.h"
#include "dragonflytack/store/store_client.h"

namespace dragonflytack {

class EventLoop;
class Logger;

// The interfaces of the daemon that depend on where it is deployed: the store
// client, the interface for callers and the announcements of targets.
struct Environment final {
  // Returns null if the store client does not support the settings.
  std::function<
      std::unique_ptr<StoreClient>(const Settings&, EventLoop*, Logger*)>
      make_store;
  // Creates the roll-out orders, which may use the store client; called only if
  // the settings enable roll-outs.
  std::function<
      std::unique_ptr<RolloutOrders>(const Settings&, EventLoop*, StoreClient*)>
      make_rollout_orders;
  std::function<CallInterface(const Settings&)> make_call_interface;
  // Creates the handler of the configured announcement port; empty if targets
  // send announcements to the admin port only. The callback is called from
  // within AdminHandler::Handle() and does not destroy the handler.
  std::function<std::unique_ptr<AdminHandler>(const Settings&,
                                              AnnouncementCallback,
                                              Logger*)>
      make_announcement_handler;

  // Reads the settings again after SIGHUP; empty if reloading is not supported.
  std::function<std::optional<Settings>(Failure* reason)> reload;

  // Returns the project's own interfaces, which docs/ describes.
  static Environment Native();
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ENVIRONMENT_H_
