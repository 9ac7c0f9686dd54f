#ifndef TOOLS_SOAK_DRIVER_DAEMON_GROUP_H_
#define TOOLS_SOAK_DRIVER_DAEMON_GROUP_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "soak_driver/node_life.h"
#include "soak_driver/soak_log.h"
#include "support/fleet.h"

namespace dragonflytack {

// Signals the daemons and targets of a fleet, restarts daemons that exited, and
// reports exits that no signal explains.
class DaemonGroup final {
 public:
  // The drain timeout of the daemons. A daemon ends within half a second after
  // it (docs/settings.md).
  static constexpr int kDrainTimeoutMs = 5000;

  DaemonGroup(Fleet* fleet, SoakLog* log);

  // Starts all daemons. Returns false on failure.
  bool StartAll();
  // Sends SIGTERM. A first one is sent only while enough other daemons take
  // calls, and a further one only to a daemon that is stopping. A first one
  // waits until the program handles SIGTERM: before its main function, the
  // signal ends the process whatever the program does. Returns whether it was
  // sent or waits; false if the daemon is down.
  bool Terminate(int node, bool again, double restart_after);
  // Sends SIGKILL, under the same condition as a first SIGTERM.
  bool Kill(int node, double restart_after);
  // Sends SIGSTOP, and SIGCONT after `seconds`.
  void Pause(int node, double seconds);
  void PauseTarget(int node, double seconds);
  // Handles exits, restarts and ends of pauses that are due.
  void Poll();
  // Ends all pauses.
  void ResumeAll();
  // Returns whether all daemons run and none is stopping.
  bool AreAllRunning() const;
  // Sends SIGTERM to all daemons, which are not restarted.
  void TerminateAll();
  bool AreAllDown() const;
  // Returns the running daemons and targets, by names for messages.
  std::vector<std::pair<std::string, pid_t>> Processes() const;

  const std::vector<NodeLife>& lives() const { return lives_; }
  int terminated() const { return terminated_; }
  int killed() const { return killed_; }

 private:
  struct Daemon {
    bool running = false;
    size_t life = 0;
    SoakTime restart_at;
    double restart_after = 0;
    SoakTime must_exit_by;
    // Whether SIGTERM may be sent: the program handles it, or should by now.
    bool handles_terminate = false;
    SoakTime must_handle_by;
    bool terminate_waits = false;
    std::optional<SoakTime> paused;
    // How long it was paused since its first SIGTERM.
    SoakTime::duration paused_in_stop{};
    SoakTime resume_at;
    std::optional<SoakTime> target_resume_at;
  };

  bool MaySpare(int node) const;
  bool Start(int node);
  // Notes when the program handles SIGTERM, and sends one that waits for it.
  void PollHandler(int node);
  void Resume(int node);
  void OnExit(int node, int wait_status);
  void SendTerminate(int node);
  NodeLife& LifeOf(int node) { return lives_[daemons_[node].life]; }
  const NodeLife& LifeOf(int node) const { return lives_[daemons_[node].life]; }

  Fleet* const fleet_;
  SoakLog* const log_;
  std::vector<Daemon> daemons_;
  std::vector<NodeLife> lives_;
  bool stopping_all_ = false;
  int terminated_ = 0;
  int killed_ = 0;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_DAEMON_GROUP_H_
