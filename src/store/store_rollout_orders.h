#ifndef DRAGONFLYTACK_SRC_STORE_STORE_ROLLOUT_ORDERS_H_
#define DRAGONFLYTACK_SRC_STORE_STORE_ROLLOUT_ORDERS_H_

#include <memory>

#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/store/rollout_orders.h"

namespace dragonflytack {

class StoreClient;

// The orders in the project's own store, one object "rollout/SERVICE" for each.
// The interface of the store has no watch over several objects, so they are
// listed twice a second.
class StoreRolloutOrders final : public RolloutOrders {
 public:
  static constexpr Milliseconds kListPeriod{500};

  // The pointers must outlive the object.
  StoreRolloutOrders(StoreClient* store, TimerService* timers)
      : store_(store), timers_(timers) {}
  ~StoreRolloutOrders() override { timers_->Cancel(timer_); }

  void Next(Milliseconds timeout, ListCallback callback) override;
  void WriteProgress(const RolloutOrder& order,
                     RolloutProgress progress,
                     WriteCallback callback) override;

  // Returns the key of the object of a service.
  static std::string KeyOf(const std::string& service);
  // Converts an order to and from the value of its object.
  static std::string ToValue(const RolloutOrder& order);
  static std::optional<RolloutOrder> FromObject(const StoreObject& object);

 private:
  void List(const ListCallback& callback);

  StoreClient* const store_;
  TimerService* const timers_;
  TimerId timer_ = 0;
  bool has_listed_ = false;
  // Expires with the object, which drops all pending callbacks.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_STORE_STORE_ROLLOUT_ORDERS_H_
