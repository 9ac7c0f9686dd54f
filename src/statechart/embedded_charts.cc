#include "statechart/embedded_charts.h"

#include <cassert>
#include <map>

#include "dragonflytack/statechart/state_chart.h"

namespace dragonflytack {

namespace {

using Charts =
    std::map<std::string_view, std::shared_ptr<const StateChart>, std::less<>>;

Charts ParseAll() {
  Charts charts;
  for (size_t i = 0; i < kEmbeddedChartCount; ++i) {
    Failure reason;
    const EmbeddedChart& chart = kEmbeddedCharts[i];
    charts[chart.name] = StateChart::Parse(chart.name, chart.scxml, &reason);
    assert(charts[chart.name] != nullptr);
  }
  return charts;
}

}  // namespace

std::shared_ptr<const StateChart> FindEmbeddedChart(std::string_view name) {
  static const Charts charts = ParseAll();
  const auto found = charts.find(name);
  assert(found != charts.end());
  return found->second;
}

}  // namespace dragonflytack
