#ifndef TOOLS_MEASURE_DRIVER_DISTRIBUTION_MEASURE_H_
#define TOOLS_MEASURE_DRIVER_DISTRIBUTION_MEASURE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "measure_driver/report.h"
#include "measure_driver/table_writer.h"
#include "support/fleet.h"

namespace dragonflytack {

// Measures the distribution of edits over a fleet: convergence, control bytes,
// processor time, memory and store calls, when idle, under edits, after the
// failure of many nodes and after a store outage.
class DistributionMeasure final {
 public:
  // `work_dir` must exist.
  DistributionMeasure(const FleetOptions& options, const std::string& mode);

  // Prints all figures. Returns true if the fleet started and every stated
  // target was met.
  bool Run();

 private:
  // Cumulative resource usage of a node.
  struct Usage {
    double sent_bytes = 0;
    double sent_other_region_bytes = 0;
    double cpu_seconds = 0;
  };

  // Resource usage of the nodes in bytes per second and percent of a core. The
  // rate between regions is the sum over all nodes.
  struct NodeRates {
    double bytes_per_s_mean = 0;
    double bytes_per_s_worst = 0;
    double cross_region_bytes_per_s = 0;
    double cpu_percent_mean = 0;
    double cpu_percent_worst = 0;
  };

  bool Start();
  void MeasureIdle();
  void MeasureEdits();
  void MeasureMassFailure();
  void MeasureStoreOutage();
  void MeasureMemory();

  std::vector<Usage> ReadUsage() const;
  // Returns the milliseconds from the store's acceptance until the version was
  // in force on the last node, or std::nullopt if a node does not have it after
  // `timeout_ms`.
  std::optional<double> ConvergenceMs(const TableWriter::WriteResult& accepted,
                                      int timeout_ms);
  static NodeRates RatesOf(const std::vector<Usage>& before,
                           const std::vector<Usage>& after,
                           double seconds);
  void PrintRates(const std::string& phase, const NodeRates& rates);
  // Samples the store's request counter every second for `seconds` and returns
  // the highest rate.
  double PeakStoreCalls(double seconds) const;

  Fleet fleet_;
  TableWriter writer_;
  Report report_;
  NodeRates idle_rates_;
};

}  // namespace dragonflytack

#endif  // TOOLS_MEASURE_DRIVER_DISTRIBUTION_MEASURE_H_
