#include "statechart/embedded_charts.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

#include "daemon/observed_store.h"
#include "daemon/target_life_cycle.h"
#include "dragonflytack/statechart/state_chart.h"
#include "net/websocket_link.h"

namespace dragonflytack {

// Guards against a chart that was changed without running
// tools/generate-charts. The tests run in the root of the source tree.
Test(embedded_charts, equal_the_chart_files) {
  size_t files = 0;
  for (const auto& entry : std::filesystem::directory_iterator("charts")) {
    ++files;
    std::ifstream file(entry.path());
    std::stringstream text;
    text << file.rdbuf();
    bool found = false;
    for (size_t i = 0; i < kEmbeddedChartCount; ++i) {
      if (kEmbeddedCharts[i].name == entry.path().stem().string()) {
        found = true;
        cr_expect(kEmbeddedCharts[i].scxml == text.str(), "%s differs",
                  entry.path().c_str());
      }
    }
    cr_expect(found, "%s is not embedded", entry.path().c_str());
  }
  cr_assert_eq(files, kEmbeddedChartCount);
}

// Guards against charts that cannot be parsed, or whose actions differ from
// those bound by their classes.
Test(embedded_charts, are_valid_and_match_their_actions) {
  for (size_t i = 0; i < kEmbeddedChartCount; ++i) {
    Failure reason;
    cr_assert(StateChart::Parse(kEmbeddedCharts[i].name,
                                kEmbeddedCharts[i].scxml, &reason) != nullptr,
              "%s", reason.ToString().c_str());
  }
  for (const auto check :
       {&WebSocketLink::CheckChart, &TargetLifeCycle::CheckChart,
        &ObservedStore::CheckChart}) {
    Failure reason;
    cr_expect(check(&reason), "%s", reason.ToString().c_str());
  }
}

}  // namespace dragonflytack
