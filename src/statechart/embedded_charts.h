#ifndef DRAGONFLYTACK_STATECHART_EMBEDDED_CHARTS_H_
#define DRAGONFLYTACK_STATECHART_EMBEDDED_CHARTS_H_

#include <cstddef>
#include <iterator>
#include <memory>
#include <string_view>

namespace dragonflytack {

class StateChart;

// A chart file of charts/, without its suffix, and its text.
struct EmbeddedChart final {
  std::string_view name;
  std::string_view scxml;
};

extern const EmbeddedChart kEmbeddedCharts[];
extern const size_t kEmbeddedChartCount;

// Returns the parsed chart with this name. A name or chart that does not exist
// or is invalid is a programming error, which the tests of the charts find.
std::shared_ptr<const StateChart> FindEmbeddedChart(std::string_view name);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STATECHART_EMBEDDED_CHARTS_H_
