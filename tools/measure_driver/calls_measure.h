#ifndef TOOLS_MEASURE_DRIVER_CALLS_MEASURE_H_
#define TOOLS_MEASURE_DRIVER_CALLS_MEASURE_H_

#include <cstdint>
#include <map>
#include <string>

#include "measure_driver/fleet.h"
#include "measure_driver/report.h"
#include "measure_driver/table_writer.h"
#include "support/load_plan.h"
#include "support/load_result.h"

namespace dragonflytack {

// Measures the calls of a fleet with targets: added latency, processor cost,
// goodput under overload, and what happens to calls during faults, drains and a
// rolling restart. The service "roster" is idempotent, "booking" one-time. The
// baseline sends the calls straight to the targets in turn, without limits.
class CallsMeasure final {
 public:
  // A phase is a name of kPhases, or "all".
  CallsMeasure(const FleetOptions& options, const std::string& phase);

  // Prints all figures. Returns whether the fleet could be run and each stated
  // target was met.
  bool Run();

 private:
  bool Start();
  void MeasureLatency();
  void MeasureSaturation();
  void MeasureOverload();
  void MeasureFaults();
  void MeasureDrain();
  void MeasureRollingRestart();

  // A plan that enters at all nodes, or straight at the targets of the service.
  LoadPlan MeshPlan(const std::string& service, const std::string& run) const;
  LoadPlan DirectPlan(const std::string& service, const std::string& run) const;
  // The value of x-chain for calls `depth` deep that begin at the idempotent
  // service.
  std::string ChainOf(int depth) const;
  double CapacityPerSecond() const;
  double DaemonCpuSeconds() const;
  bool SwitchTarget(size_t index, const std::string& json) const;
  // Executions of each request id, summed over all targets.
  std::map<std::string, int> Executions() const;
  void CheckAnswers(const std::string& figure, const LoadResult& result);
  void PrintFailures(const std::string& figure, const LoadResult& result);
  void CheckOneTime(const std::string& figure, const LoadResult& result);

  const std::string phase_;
  Fleet fleet_;
  TableWriter writer_;
  Report report_;
};

}  // namespace dragonflytack

#endif  // TOOLS_MEASURE_DRIVER_CALLS_MEASURE_H_
