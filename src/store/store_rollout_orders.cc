#include "store/store_rollout_orders.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflytack/store/store_client.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "rollout/";
// The most that the store lists at once, and that a table may have rows.
constexpr int kMaxOrders = 1000;
constexpr int64_t kMaxDurationMs = 24LL * 3600 * 1000;
// By RolloutProgress.
constexpr std::array<const char*, 4> kProgressNames = {"none", "running",
                                                       "completed", "reverted"};

}  // namespace

std::string StoreRolloutOrders::KeyOf(const std::string& service) {
  return std::string(kPrefix) + service;
}

std::string StoreRolloutOrders::ToValue(const RolloutOrder& order) {
  return json{{"release", order.release},
              {"duration_ms", order.duration.count()},
              {"progress", kProgressNames[static_cast<size_t>(order.progress)]}}
      .dump();
}

std::optional<RolloutOrder> StoreRolloutOrders::FromObject(
    const StoreObject& object) {
  const json value = json::parse(object.value, nullptr, false);
  if (!value.is_object() || !object.key.starts_with(kPrefix)) {
    return std::nullopt;
  }
  const auto release = value.find("release");
  const auto duration = value.find("duration_ms");
  if (release == value.end() || !release->is_string() ||
      duration == value.end() || !duration->is_number_unsigned() ||
      duration->get<uint64_t>() > kMaxDurationMs) {
    return std::nullopt;
  }
  RolloutOrder order{object.key.substr(kPrefix.size()),
                     release->get<std::string>(),
                     Milliseconds(duration->get<int64_t>()), object.version,
                     RolloutProgress::kNone};
  const auto progress = value.find("progress");
  for (size_t i = 0; i < kProgressNames.size(); ++i) {
    if (progress != value.end() && *progress == kProgressNames[i]) {
      order.progress = static_cast<RolloutProgress>(i);
    }
  }
  return order.service.empty() || order.release.empty()
             ? std::nullopt
             : std::optional(std::move(order));
}

void StoreRolloutOrders::Next(Milliseconds timeout, ListCallback callback) {
  if (!std::exchange(has_listed_, true)) {
    List(callback);
    return;
  }
  timer_ = timers_->SubscribeOnce(
      std::min(timeout, kListPeriod),
      [this, callback = std::move(callback)] { List(callback); });
}

void StoreRolloutOrders::List(const ListCallback& callback) {
  store_->List(std::string(kPrefix), "", kMaxOrders,
               [this, callback, alive = std::weak_ptr<bool>(alive_)](
                   std::optional<std::vector<StoreObject>> objects,
                   const Failure& reason) {
                 if (alive.expired()) {
                   return;
                 }
                 if (!objects) {
                   has_listed_ = false;
                   callback(std::nullopt, reason);
                   return;
                 }
                 std::vector<RolloutOrder> orders;
                 for (const StoreObject& object : *objects) {
                   if (std::optional<RolloutOrder> order = FromObject(object)) {
                     orders.push_back(*std::move(order));
                   }
                 }
                 callback(std::move(orders), Failure{});
               });
}

void StoreRolloutOrders::WriteProgress(const RolloutOrder& order,
                                       RolloutProgress progress,
                                       WriteCallback callback) {
  RolloutOrder changed = order;
  changed.progress = progress;
  store_->Put(
      KeyOf(order.service), ToValue(changed), order.version,
      [callback = std::move(callback), alive = std::weak_ptr<bool>(alive_)](
          std::optional<StoreVersion> /*version*/, const Failure& reason) {
        if (!alive.expired()) {
          callback(reason);
        }
      });
}

}  // namespace dragonflytack
