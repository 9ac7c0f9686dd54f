#ifndef TOOLS_MEASURE_DRIVER_CALLS_MEASURE_H_
#define TOOLS_MEASURE_DRIVER_CALLS_MEASURE_H_

#include <cstdint>
#include <map>
#include <string>

#include "measure_driver/report.h"
#include "measure_driver/table_writer.h"
#include "support/fleet.h"
#include "support/load_plan.h"
#include "support/load_result.h"

namespace dragonflytack {

// Measures calls through a fleet with targets: added latency, processor cost,
// goodput under overload, and the outcomes of calls during faults, drains and a
// rolling restart. The service "roster" is idempotent, "booking" is one-time.
// The baseline sends calls directly to the targets in round-robin order,
// without limits.
class CallsMeasure final {
 public:
  // `phase` is a name in kPhases, or "all".
  CallsMeasure(const FleetOptions& options, const std::string& phase);

  // Prints all figures. Returns true if the fleet started and every stated
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

  // Return a plan that sends calls to the call ports of all nodes, or directly
  // to the targets of `service`.
  LoadPlan MeshPlan(const std::string& service, const std::string& run) const;
  LoadPlan DirectPlan(const std::string& service, const std::string& run) const;
  // Returns the value of the header x-chain for chains of `depth` calls that
  // start at the idempotent service.
  std::string ChainOf(int depth) const;
  double CapacityPerSecond() const;
  double DaemonCpuSeconds() const;
  bool SwitchTarget(size_t index, const std::string& json) const;
  // Returns the number of executions by request id, summed over all targets.
  std::map<std::string, int> Executions() const;
  void CheckResponses(const std::string& figure, const LoadResult& result);
  void PrintFailures(const std::string& figure, const LoadResult& result);
  void CheckOneTime(const std::string& figure, const LoadResult& result);

  const std::string phase_;
  Fleet fleet_;
  TableWriter writer_;
  Report report_;
};

}  // namespace dragonflytack

#endif  // TOOLS_MEASURE_DRIVER_CALLS_MEASURE_H_
