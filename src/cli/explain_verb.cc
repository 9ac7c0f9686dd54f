#include <algorithm>
#include <ostream>
#include <utility>

#include <fmt/format.h>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "cli/fleet.h"
#include "cli/route_explanation.h"
#include "cli/text_table.h"
#include "cli/tool_context.h"
#include "cli/verb.h"
#include "dragonflytack/base/event_loop.h"
#include "table/column.h"
#include "table/table_json.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

// The weight of a warming target rises linearly from kColdShare of its
// configured weight to the full weight within kWarmUpMs (design section 8.2).
constexpr int64_t kWarmUpMs = 10'000;
constexpr double kColdShare = 0.1;

struct EndpointView {
  std::string node;
  std::string region;
  std::string data_centre;
  std::string address;
  std::string state;
  std::string liveness;
  double weight = 0;
  // Why the endpoint gets no calls; empty if it gets calls.
  std::string exclusion_reason;
};

double WarmUpFactor(const json& endpoint, int64_t now_ms) {
  const auto since =
      static_cast<int64_t>(NumberMember(endpoint, "warming_since_ms"));
  const double progress = std::clamp(
      static_cast<double>(now_ms - since) / static_cast<double>(kWarmUpMs), 0.0,
      1.0);
  return kColdShare + (1 - kColdShare) * progress;
}

EndpointView MakeView(const json& endpoint,
                      const ServiceRow& row,
                      int64_t now_ms) {
  EndpointView view{
      TextMember(endpoint, "id"),          TextMember(endpoint, "region"),
      TextMember(endpoint, "data_centre"), TextMember(endpoint, "address"),
      TextMember(endpoint, "state"),       TextMember(endpoint, "liveness")};
  const auto weight = row.weights.find(view.region);
  view.weight =
      weight == row.weights.end() ? ServiceRow::kDefaultWeight : weight->second;
  // The node may report a reason that the record does not show, for example an
  // ejection.
  view.exclusion_reason = TextMember(endpoint, "left_out");
  if (view.liveness == "dead") {
    view.exclusion_reason = "the node is dead";
  } else if (view.state != "ready" && view.state != "warming") {
    view.exclusion_reason = fmt::format("the target is {}", view.state);
  } else if (view.weight == 0) {
    view.exclusion_reason = fmt::format("the weight of {} is 0", view.region);
  }
  if (!view.exclusion_reason.empty()) {
    view.weight = 0;
  } else if (view.state == "warming") {
    view.weight *= WarmUpFactor(endpoint, now_ms);
  }
  return view;
}

class ExplainVerb final : public Verb {
 public:
  void AddOptions(
      boost::program_options::options_description* options) const override {
    options->add_options()(
        "account",
        boost::program_options::value<std::string>()->value_name("NAME"),
        "with HOST/PATH: show the rank of calls of this client account")(
        "key", boost::program_options::value<std::string>()->value_name("TEXT"),
        "with HOST/PATH: show the account of this API key, which stays in the "
        "tool");
  }

  std::string Notes() const override {
    return "Weights are those of the table, lowered while a target warms up. "
           "Calls stay near\ntheir caller as long as near targets can take "
           "them.\n\nHOST/PATH names the route that a call takes, and how its "
           "calls "
           "are divided.\n";
  }

  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map& options,
               ToolContext* context) const override {
    Failure reason;
    CallerOption caller;
    if (options.contains("account")) {
      caller.account = options["account"].as<std::string>();
    }
    if (options.contains("key")) {
      caller.key = options["key"].as<std::string>();
    }
    const bool is_route = arguments[0].find('/') != std::string::npos;
    if ((caller.account && caller.key) ||
        ((caller.account || caller.key) && !is_route)) {
      return context->Fail(
          Failure{FailureCode::kInvalidArgument, "--account or --key",
                  "expected one of them, together with HOST/PATH"});
    }
    const std::optional<HostPort> node = context->Node(&reason);
    if (!node) {
      return context->Fail(reason);
    }
    if (is_route) {
      return ExplainRoute(arguments[0], caller, *node, context);
    }
    // Invalid names cannot be in the table and would need escaping in the path.
    const ServiceRow named{.service = arguments[0]};
    const Column& column = Columns().front();
    if (const auto fault = column.validate(column, named)) {
      return context->Fail(
          Failure{FailureCode::kInvalidArgument, "SERVICE", *fault});
    }
    AdminFetcher fetcher(context->loop(), context->options().shared_key);
    const AdminReply response = fetcher.Fetch(
        *node, "/routes?service=" + arguments[0], context->options().timeout);
    if (!response.value) {
      return context->Fail(response.reason);
    }
    const json& value = *response.value;
    const std::optional<ServiceRow> row =
        RowFromJson(MemberOrSelf(value, "row"), &reason);
    const json& list = MemberOrSelf(value, "endpoints");
    if (!row || !list.is_array()) {
      return context->Fail(Failure{FailureCode::kInvalidMessage,
                                   node->ToString(),
                                   "the response is not a route"});
    }
    std::vector<EndpointView> views;
    for (const json& endpoint : list) {
      views.push_back(
          MakeView(endpoint, *row, context->loop()->clock().WallMillis()));
    }
    if (context->options().json) {
      PrintJson(value, *row, views, context);
    } else {
      PrintText(value, *row, views, context);
    }
    return ExitCode::kDone;
  }

 private:
  static void PrintText(const json& route,
                        const ServiceRow& row,
                        const std::vector<EndpointView>& views,
                        ToolContext* context) {
    const Column& kind = *FindColumn("kind");
    context->out() << fmt::format("{} ({}), version {}, as node {} sees it\n\n",
                                  row.service, kind.format_text(kind, row),
                                  NumberMember(route, "version"),
                                  TextMember(route, "node"));
    TextTable table({"endpoint", "region", "data centre", "address", "state",
                     "liveness", "weight", "left out because"});
    size_t eligible = 0;
    for (const EndpointView& view : views) {
      eligible += view.exclusion_reason.empty() ? 1 : 0;
      table.Add({view.node, view.region, view.data_centre, view.address,
                 view.state, view.liveness, fmt::format("{:.0f}", view.weight),
                 view.exclusion_reason});
    }
    context->out() << table.ToString()
                   << fmt::format("{} of {} endpoints get calls\n", eligible,
                                  views.size());
  }

  static void PrintJson(const json& route,
                        const ServiceRow& row,
                        const std::vector<EndpointView>& views,
                        ToolContext* context) {
    json list = json::array();
    for (const EndpointView& view : views) {
      list.push_back({{"endpoint", view.node},
                      {"region", view.region},
                      {"data_centre", view.data_centre},
                      {"address", view.address},
                      {"state", view.state},
                      {"liveness", view.liveness},
                      {"weight", view.weight},
                      {"left_out", view.exclusion_reason}});
    }
    context->PrintJson({{"node", TextMember(route, "node")},
                        {"version", NumberMember(route, "version")},
                        {"row", RowToJson(row)},
                        {"endpoints", std::move(list)}});
  }
};

}  // namespace

std::unique_ptr<Verb> MakeExplainVerb() {
  return std::make_unique<ExplainVerb>();
}

}  // namespace dragonflytack
