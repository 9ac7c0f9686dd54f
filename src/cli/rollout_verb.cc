#include <algorithm>
#include <charconv>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/text_table.h"
#include "cli/tool_context.h"
#include "cli/verb.h"
#include "dragonflytack/base/event_loop.h"
#include "rollout/rollout_state.h"
#include "store/store_rollout_orders.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

constexpr size_t kArgumentsToStart = 3;
// The limit of a release in the announcement of a target.
constexpr size_t kMaxReleaseBytes = 63;
constexpr int64_t kMaxDurationSeconds = 24LL * 3600;
constexpr int64_t kMillisPerSecond = 1000;

std::optional<Milliseconds> ParseSeconds(const std::string& text) {
  int64_t seconds = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, seconds);
  return error == std::errc() && rest == end && seconds > 0 &&
                 seconds <= kMaxDurationSeconds
             ? std::optional(Milliseconds(seconds * kMillisPerSecond))
             : std::nullopt;
}

json OrderToJson(const RolloutOrder& order) {
  return {{"service", order.service},
          {"release", order.release},
          {"duration_ms", order.duration.count()},
          {"progress", RolloutProgressName(order.progress)},
          {"version", order.version}};
}

class RolloutVerb final : public Verb {
 public:
  std::string Notes() const override {
    return "Without RELEASE, the orders in the store are shown. With it, a "
           "roll-out to this release\nis started, which has to end within "
           "SECONDS (1 to 86400). An order that has not ended is\nnot "
           "replaced. \"dragonflytack status\" shows the share and the "
           "evidence "
           "of a roll-out.\n";
  }

  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map&,
               ToolContext* context) const override {
    Failure reason;
    const std::optional<std::vector<RolloutOrder>> orders =
        ReadOrders(context, &reason);
    if (!orders) {
      return context->Fail(reason);
    }
    if (arguments.size() <= 1) {
      return Show(arguments, *orders, context);
    }
    if (arguments.size() != kArgumentsToStart) {
      return context->Fail({FailureCode::kInvalidArgument, "rollout",
                            "a start needs SERVICE RELEASE SECONDS"});
    }
    return Start(arguments, *orders, context);
  }

 private:
  static std::optional<std::vector<RolloutOrder>> ReadOrders(
      ToolContext* context,
      Failure* reason) {
    StoreClient* const store = context->Store(reason);
    if (store == nullptr) {
      return std::nullopt;
    }
    StoreRolloutOrders reader(store, &context->loop()->timers());
    std::optional<std::vector<RolloutOrder>> orders;
    reader.Next(context->options().timeout,
                [&](std::optional<std::vector<RolloutOrder>> response,
                    const Failure& failure) {
                  orders = std::move(response);
                  *reason = failure;
                  context->loop()->Stop();
                });
    context->loop()->Run();
    return orders;
  }

  static ExitCode Show(const Arguments& arguments,
                       const std::vector<RolloutOrder>& orders,
                       ToolContext* context) {
    json list = json::array();
    TextTable table({"service", "release", "seconds", "progress"});
    for (const RolloutOrder& order : orders) {
      if (arguments.empty() || arguments[0] == order.service) {
        list.push_back(OrderToJson(order));
        table.Add({order.service, order.release,
                   std::to_string(order.duration.count() / kMillisPerSecond),
                   std::string(RolloutProgressName(order.progress))});
      }
    }
    if (!arguments.empty() && list.empty()) {
      return context->Fail({FailureCode::kNotFound, arguments[0],
                            "the store has no roll-out of the service"});
    }
    if (context->options().json) {
      context->PrintJson(list);
    } else {
      context->out() << table.ToString();
    }
    return ExitCode::kDone;
  }

  static ExitCode Start(const Arguments& arguments,
                        const std::vector<RolloutOrder>& orders,
                        ToolContext* context) {
    RolloutOrder order{.service = arguments[0], .release = arguments[1]};
    const std::optional<Milliseconds> duration = ParseSeconds(arguments[2]);
    if (!duration || order.release.empty() ||
        order.release.size() > kMaxReleaseBytes) {
      return context->Fail(
          {FailureCode::kInvalidArgument, order.service,
           "the release has 1 to 63 bytes, and the seconds are 1 to 86400"});
    }
    order.duration = *duration;
    Failure reason;
    const auto table = context->ReadTable(&reason);
    if (!table) {
      return context->Fail(reason);
    }
    if (!table->document.rows.contains(order.service)) {
      return context->Fail({FailureCode::kNotFound, order.service,
                            "the table has no such service"});
    }
    const auto previous = std::find_if(orders.begin(), orders.end(),
                                       [&order](const RolloutOrder& item) {
                                         return item.service == order.service;
                                       });
    if (previous != orders.end() &&
        (previous->progress == RolloutProgress::kNone ||
         previous->progress == RolloutProgress::kRunning)) {
      return context->Fail(
          {FailureCode::kConflict, order.service,
           fmt::format("the roll-out to {} has not ended", previous->release)});
    }
    order.version = previous == orders.end() ? 0 : previous->version;
    return Write(order, context);
  }

  static ExitCode Write(RolloutOrder order, ToolContext* context) {
    Failure reason;
    StoreClient* const store = context->Store(&reason);
    std::optional<StoreVersion> version;
    store->Put(
        StoreRolloutOrders::KeyOf(order.service),
        StoreRolloutOrders::ToValue(order), order.version,
        [&](std::optional<StoreVersion> response, const Failure& failure) {
          version = response;
          reason = failure;
          context->loop()->Stop();
        });
    context->loop()->Run();
    if (!version) {
      return context->Fail(reason);
    }
    order.version = *version;
    if (context->options().json) {
      context->PrintJson(OrderToJson(order));
    } else {
      context->out() << fmt::format(
          "roll-out of {} to {} ordered, to end within {} s\n", order.service,
          order.release, order.duration.count() / kMillisPerSecond);
    }
    return ExitCode::kDone;
  }
};

}  // namespace

std::unique_ptr<Verb> MakeRolloutVerb() {
  return std::make_unique<RolloutVerb>();
}

}  // namespace dragonflytack
