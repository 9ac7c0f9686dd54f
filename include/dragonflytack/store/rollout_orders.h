#ifndef DRAGONFLYTACK_STORE_ROLLOUT_ORDERS_H_
#define DRAGONFLYTACK_STORE_ROLLOUT_ORDERS_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/store/store_object.h"

namespace dragonflytack {

// The progress of a roll-out as its order shows it.
enum class RolloutProgress { kNone, kRunning, kCompleted, kRolledBack };

// An order to move a service to a release of its targets.
struct RolloutOrder final {
  std::string service;
  std::string release;
  // From the order to the deadline.
  Milliseconds duration{0};
  // Version of the object, which writes of the progress raise as well.
  StoreVersion version = 0;
  // kNone also if the progress that the object shows is that of another
  // release.
  RolloutProgress progress = RolloutProgress::kNone;

  friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

// The orders in the platform's object store. Callbacks are called once, on a
// later turn of the loop, and dropped with the object.
class RolloutOrders {
 public:
  using ListCallback =
      std::function<void(std::optional<std::vector<RolloutOrder>>,
                         const Failure& reason)>;
  using WriteCallback = std::function<void(const Failure& reason)>;

  virtual ~RolloutOrders() = default;

  // Returns all orders at the first call. Later calls return at least those
  // that changed since the last one, and wait for up to `timeout` for a change.
  // After a failure, the next call returns all.
  virtual void Next(Milliseconds timeout, ListCallback callback) = 0;

  // Writes the progress of a roll-out to its order.
  virtual void WriteProgress(const RolloutOrder& order,
                             RolloutProgress progress,
                             WriteCallback callback) = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_ROLLOUT_ORDERS_H_
