// The command-line tool and roll-outs.

#include <string>

#include <criterion/criterion.h>

#include "dragonflytack/observe/metrics_registry.h"
#include "rollout/rollout_metrics.h"
#include "store/store_rollout_orders.h"
#include "tool_fixture.h"

namespace dragonflytack {

using nlohmann::json;

namespace {

json Share(int share, int epoch) {
  return {{"service", "roster"},
          {"release", "v2"},
          {"share", share},
          {"epoch", epoch}};
}

}  // namespace

// Guards against a status that shows the state of a controller which does not
// decide, or an older share than a controller has.
Test(rollout_tool, status_shows_the_roll_outs_of_the_deciding_controller) {
  ToolFixture fixture;
  cr_assert_eq(fixture.Run({"status", "--json"}), 0);
  cr_expect(json::parse(fixture.out)["rollouts"].empty());
  fixture.node.responses["/rollouts"] = {
      {"controller", false},
      {"controllers", {"n2", "n1", "n3"}},
      {"shares", json::array({Share(8, 40)})},
      {"sessions", json::array({{{"service", "roster"},
                                 {"release", "v2"},
                                 {"deciding", false},
                                 {"progress", "none"},
                                 {"responses", {0, 0}},
                                 {"failures", {0, 0}}}})}};
  fixture.other.responses["/rollouts"] = {
      {"shares", json::array({Share(0, 41)})},
      {"sessions", json::array({{{"service", "roster"},
                                 {"release", "v2"},
                                 {"deciding", true},
                                 {"progress", "reverted"},
                                 {"cause", "failures"},
                                 {"responses", {900, 30}},
                                 {"failures", {4, 21}}}})}};
  cr_assert_eq(fixture.Run({"status"}), 0);
  cr_expect(fixture.OutputContains("reverted"), "%s", fixture.out.c_str());
  cr_expect(fixture.OutputContains("21/30"), "%s", fixture.out.c_str());
  cr_assert_eq(fixture.Run({"status", "--json"}), 0);
  const json rollout = json::parse(fixture.out)["rollouts"][0];
  cr_expect(rollout["service"] == "roster" && rollout["release"] == "v2" &&
            rollout["share"] == 0 && rollout["epoch"] == 41 &&
            rollout["state"] == "reverted" && rollout["cause"] == "failures" &&
            rollout["controller"] == "n2" &&
            rollout["old_release"]["responses"] == 900 &&
            rollout["new_release"]["failures"] == 21);
  // Without the controller only the share is known.
  fixture.other.responses.erase("/rollouts");
  cr_assert_eq(fixture.Run({"status", "--json"}), 0);
  const json unknown = json::parse(fixture.out)["rollouts"][0];
  cr_expect(unknown["share"] == 8 && unknown["state"].is_null());
}

// Guards against an order that the controllers cannot read, that has no
// service, or that replaces one that has not ended.
Test(rollout_tool, rollout_starts_and_shows_orders) {
  ToolFixture fixture;
  cr_expect_eq(fixture.Run({"rollout", "roster"}), 1);
  cr_expect_eq(fixture.Run({"rollout", "roster", "v2"}), 2);
  cr_expect_eq(fixture.Run({"rollout", "roster", "v2", "0"}), 2);
  cr_expect_eq(fixture.Run({"rollout", "roster", std::string(64, 'v'), "9"}),
               2);
  cr_expect_eq(fixture.Run({"rollout", "other", "v2", "12"}), 1);
  cr_assert_eq(fixture.Run({"rollout", "roster", "v2", "12"}), 0, "%s",
               fixture.err.c_str());
  cr_expect_eq(fixture.Run({"rollout", "roster", "v3", "12"}), 3);
  cr_expect(fixture.OutputContains("the roll-out to v2 has not ended"));
  cr_assert_eq(fixture.Run({"rollout", "--json"}), 0);
  const json order = json::parse(fixture.out)[0];
  cr_expect(order["service"] == "roster" && order["release"] == "v2" &&
            order["duration_ms"] == 12'000 && order["progress"] == "none");
}

// Guards against metrics of roll-outs that count a kind under another one.
Test(rollout_tool, metrics_count_changes_and_requests) {
  MetricsRegistry registry;
  RolloutMetrics metrics(&registry);
  metrics.SetShares({{"s", "v2", 8, 40}});
  metrics.OnStateWritten({"v2", 0, RolloutProgress::kRunning, false, 0});
  metrics.OnStateWritten({"v2", 8, RolloutProgress::kRunning, false, 0});
  metrics.OnStateWritten({"v2", 0, RolloutProgress::kRolledBack, false, 0});
  metrics.OnEvidence(RolloutMetrics::Evidence::kUnchanged);
  const std::string text = registry.RenderText();
  for (const char* line :
       {"rollout_share{service=\"s\"} 8", "rollout_epoch{service=\"s\"} 40",
        "rollout_changes_total{change=\"started\"} 1",
        "rollout_changes_total{change=\"step\"} 1",
        "rollout_changes_total{change=\"reverted\"} 1",
        "evidence_requests_total{result=\"unchanged\"} 1"}) {
    cr_expect(text.find(line) != std::string::npos, "%s", line);
  }
}

}  // namespace dragonflytack
