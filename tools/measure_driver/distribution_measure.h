#ifndef TOOLS_MEASURE_DRIVER_DISTRIBUTION_MEASURE_H_
#define TOOLS_MEASURE_DRIVER_DISTRIBUTION_MEASURE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "measure_driver/fleet.h"
#include "measure_driver/report.h"
#include "measure_driver/table_writer.h"

namespace dragonflytack {

// Measures how edits spread over a fleet: convergence, control bytes, processor
// time, memory and store calls, in quiet, under edits, after a herd of deaths
// and after a store outage.
class DistributionMeasure final {
 public:
  // `work_dir` must exist.
  DistributionMeasure(const FleetOptions& options, const std::string& mode);

  // Prints all figures. Returns whether the fleet could be run and each stated
  // target was met.
  bool Run();

 private:
  // What a node has used up to an instant.
  struct Usage {
    double sent_bytes = 0;
    double sent_other_region_bytes = 0;
    double cpu_seconds = 0;
  };

  // What nodes use: bytes a second, and percent of a core.
  struct NodeRates {
    double bytes_mean = 0;
    double bytes_worst = 0;
    double between_regions = 0;
    double processor_mean = 0;
    double processor_worst = 0;
  };

  bool Start();
  void MeasureQuiet();
  void MeasureEdits();
  void MeasureHerd();
  void MeasureStoreOutage();
  void MeasureMemory();

  std::vector<Usage> ReadUsage() const;
  // Milliseconds from the acceptance to the last node, nothing when a node
  // lacks the version after `timeout_ms`.
  std::optional<double> ConvergenceMs(const TableWriter::Accepted& accepted,
                                      int timeout_ms);
  static NodeRates RatesOf(const std::vector<Usage>& before,
                           const std::vector<Usage>& after,
                           double seconds);
  void PrintRates(const std::string& phase, const NodeRates& rates);
  // Watches the calls to the store for `seconds` and returns the highest number
  // in one second.
  double PeakStoreCalls(double seconds) const;

  Fleet fleet_;
  TableWriter writer_;
  Report report_;
  NodeRates quiet_;
};

}  // namespace dragonflytack

#endif  // TOOLS_MEASURE_DRIVER_DISTRIBUTION_MEASURE_H_
