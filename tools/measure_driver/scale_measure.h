#ifndef TOOLS_MEASURE_DRIVER_SCALE_MEASURE_H_
#define TOOLS_MEASURE_DRIVER_SCALE_MEASURE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "measure_driver/fleet.h"
#include "measure_driver/report.h"
#include "measure_driver/table_writer.h"
#include "support/child_process.h"

namespace dragonflytack {

// Measures what a daemon needs with a large registry: real daemons, and an
// emulator that fills their registries with records of nodes that have no
// process. The figures are printed against the number of records.
class ScaleMeasure final {
 public:
  // `records` counts real nodes, the emulator's two and synthetic ones.
  // `work_dir` must exist.
  ScaleMeasure(const FleetOptions& options, int records);

  // Prints all figures. Returns whether the fleet could be run and each limit
  // was kept.
  bool Run();

 private:
  // What each node has used up to an instant.
  struct Usage {
    double sent_bytes = 0;
    double cpu_seconds = 0;
    double links = 0;
  };
  // Mean and highest of the nodes, a second.
  struct Rates {
    double bytes_mean = 0;
    double bytes_worst = 0;
    double cpu_percent_mean = 0;
    double cpu_percent_worst = 0;
  };

  bool Start();
  void MeasureMemory();
  void MeasureQuiet();
  void MeasureChurn();
  void MeasureEdits();
  void MeasureRestart();

  std::vector<Usage> ReadUsage() const;
  Rates MeasureRates(double seconds) const;
  // Updates that the emulator's churn has sent, from its log.
  std::optional<uint64_t> ChurnUpdates() const;
  // Milliseconds from the acceptance to the last node, nothing when it is not
  // in force everywhere in time.
  std::optional<double> ConvergenceMs(const TableWriter::Accepted& accepted);
  // Prints a figure against the limit, and once more against our own goal.
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
  Rates quiet_;
};

}  // namespace dragonflytack

#endif  // TOOLS_MEASURE_DRIVER_SCALE_MEASURE_H_
