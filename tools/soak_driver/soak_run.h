#ifndef TOOLS_SOAK_DRIVER_SOAK_RUN_H_
#define TOOLS_SOAK_DRIVER_SOAK_RUN_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "soak_driver/caller_pool.h"
#include "soak_driver/daemon_group.h"
#include "soak_driver/fault_relay.h"
#include "soak_driver/schedule.h"
#include "soak_driver/soak_event.h"
#include "soak_driver/soak_log.h"
#include "soak_driver/soak_options.h"
#include "soak_driver/soak_rollout.h"
#include "soak_driver/starvation_watch.h"
#include "soak_driver/table_edits.h"
#include "support/fleet.h"

namespace dragonflytack {

// Runs one seed: a fleet of real processes, callers, the faults of the
// schedule, and the checks.
class SoakRun final {
 public:
  explicit SoakRun(const SoakOptions& options);

  // Returns whether all promises were kept.
  bool Run();

  // Returns the broken promises, with what shows that the machine may have
  // caused them.
  std::vector<SoakFailure> failures() const;
  // Returns the counts of the run as text.
  std::string Summary() const;

 private:
  FleetOptions MakeFleetOptions() const;
  std::vector<std::string> Addresses() const;
  std::vector<HostPort> Entries() const;
  std::vector<FaultRelay::Path> RelayPaths() const;

  bool StartProcesses();
  void InjectFaults();
  void Begin(const SoakEvent& event);
  void EndFaults();
  // Checks that the roll-out ends, that a bad release is not completed, and
  // that a good one is not rolled back although nothing failed.
  void CheckRollout();
  void CheckRecovery();
  void CheckLastEdit();
  void CheckCalls();
  void CheckCommonStop();

  // Polls processes and due ends of faults until `condition` holds. Returns
  // false after `seconds`.
  bool PollUntil(double seconds, const std::function<bool()>& condition);
  // Waits until all calls of a window succeeded. Returns false after `seconds`.
  bool WaitForSuccess(double seconds);
  void Poll();
  void SampleWaits();
  void At(double seconds, std::function<void()> action);
  void SwitchTarget(int node, const std::string& json, int timeout_ms);
  std::optional<std::map<std::string, int>> Executions() const;

  const SoakOptions options_;
  SoakLog log_;
  Schedule drawn_;
  const std::vector<SoakEvent> schedule_;
  SoakTime epoch_;
  Fleet fleet_;
  TableEdits edits_;
  SoakRollout rollout_;
  FaultRelay relay_;
  CallerPool callers_;
  DaemonGroup daemons_;
  StarvationWatch waits_;
  SoakTime next_sample_;
  // Ends of faults by time.
  std::multimap<SoakTime, std::function<void()>> actions_;
  int faults_ = 0;
  double recovery_seconds_ = 0;
  double edit_seconds_ = 0;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_SOAK_RUN_H_
