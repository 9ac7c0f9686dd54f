#ifndef TOOLS_MEASURE_DRIVER_SCALE_MEASURE_H_
#define TOOLS_MEASURE_DRIVER_SCALE_MEASURE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "measure_driver/report.h"
#include "measure_driver/table_writer.h"
#include "support/child_process.h"
#include "support/fleet.h"

namespace dragonflytack {

// Measures the resource usage of a daemon with a large registry. The fleet has
// real daemons and an emulator that fills their registries with records of
// nodes that have no process. The figures are printed against the number of
// records.
class ScaleMeasure final {
 public:
  // `records` includes the real nodes, the emulator's two gateways and the
  // synthetic nodes. `work_dir` must exist.
  ScaleMeasure(const FleetOptions& options, int records);

  // Prints all figures. Returns true if the fleet started and no limit was
  // exceeded.
  bool Run();

 private:
  // Cumulative resource usage of a node.
  struct Usage {
    double sent_bytes = 0;
    double cpu_seconds = 0;
    double links = 0;
  };
  // Mean and maximum over the nodes: bytes per second and percent of a core.
  struct Rates {
    double bytes_per_s_mean = 0;
    double bytes_per_s_worst = 0;
    double cpu_percent_mean = 0;
    double cpu_percent_worst = 0;
  };

  bool Start();
  void MeasureMemory();
  void MeasureIdle();
  void MeasureChurn();
  void MeasureEdits();
  void MeasureRestart();

  std::vector<Usage> ReadUsage() const;
  Rates MeasureRates(double seconds) const;
  // Returns the number of updates that the emulator's churn has sent, read from
  // its log; std::nullopt if the log has no such entry.
  std::optional<uint64_t> ChurnUpdates() const;
  // Returns the milliseconds from the store's acceptance until the version was
  // in force on the last node, or std::nullopt if that takes too long.
  std::optional<double> ConvergenceMs(const TableWriter::WriteResult& accepted);
  // Prints a figure with its limit, then again with the tighter goal.
  void PrintWithGoal(const std::string& figure,
                     double value,
                     const std::string& unit,
                     double limit,
                     double goal);

  const int records_;
  Fleet fleet_;
  TableWriter writer_;
  Report report_;
  std::optional<ChildProcess> emulator_;
  Rates idle_rates_;
};

}  // namespace dragonflytack

#endif  // TOOLS_MEASURE_DRIVER_SCALE_MEASURE_H_
