#ifndef DRAGONFLYTACK_STATECHART_EMBEDDED_CHARTS_H_
#define DRAGONFLYTACK_STATECHART_EMBEDDED_CHARTS_H_

#include <cstddef>
#include <iterator>
#include <memory>
#include <string_view>

namespace dragonflytack {

class StateChart;

// A file in charts/: its name without suffix and its contents.
struct EmbeddedChart final {
  std::string_view name;
  std::string_view scxml;
};

extern const EmbeddedChart kEmbeddedCharts[];
extern const size_t kEmbeddedChartCount;

// Returns the parsed chart with this name. The chart must exist and be valid,
// which tests check for all charts.
std::shared_ptr<const StateChart> FindEmbeddedChart(std::string_view name);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STATECHART_EMBEDDED_CHARTS_H_
