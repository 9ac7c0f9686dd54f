#include "soak_driver/daemon_group.h"

#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

using SteadyClock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

// A share of the nodes keeps running, because calls without any node left show
// nothing.
constexpr int kSparedShare = 3;
// docs/settings.md: half a second after the drain timeout. The rest is for the
// start of the signal handler and the reaping on a busy machine.
constexpr std::chrono::milliseconds kExitMargin{500 + 500};

// The running time that a stop needs: the entry grace and the deadline of
// calls, 1 s each, and as much again for the handover. The drain timeout
// includes the time for which the process is paused (docs/settings.md), so that
// a stop that had less may be cut short.
constexpr std::chrono::milliseconds kDrainNeed{3000};
// Time from the start of a process until its program handles SIGTERM. It takes
// 3 ms; the rest is for a busy machine.
constexpr std::chrono::milliseconds kHandlerLimit{1000};

SteadyClock::duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<SteadyClock::duration>(Seconds(seconds));
}

}  // namespace

DaemonGroup::DaemonGroup(Fleet* fleet, SoakLog* log)
    : fleet_(fleet), log_(log), daemons_(fleet->nodes().size()) {}

bool DaemonGroup::StartAll() {
  for (size_t i = 0; i < daemons_.size(); ++i) {
    if (!Start(static_cast<int>(i))) {
      return false;
    }
  }
  return true;
}

bool DaemonGroup::Start(int node) {
  Daemon& daemon = daemons_[node];
  lives_.push_back({.node = node, .started = SteadyClock::now()});
  daemon.life = lives_.size() - 1;
  daemon.handles_terminate = false;
  daemon.terminate_waits = false;
  daemon.paused_in_stop = SteadyClock::duration::zero();
  daemon.running = fleet_->StartNode(node);
  // The driver itself may wait for its disk before it creates the process.
  daemon.must_handle_by = SteadyClock::now() + kHandlerLimit;
  return daemon.running;
}

bool DaemonGroup::MaySpare(int node) const {
  int spared = 0;
  for (size_t i = 0; i < daemons_.size(); ++i) {
    const int other = static_cast<int>(i);
    spared += other != node && daemons_[i].running && !daemons_[i].paused &&
                      !LifeOf(other).terminated && !daemons_[i].terminate_waits
                  ? 1
                  : 0;
  }
  return daemons_[node].running &&
         spared * kSparedShare >= static_cast<int>(daemons_.size());
}

bool DaemonGroup::Terminate(int node, bool again, double restart_after) {
  Daemon& daemon = daemons_[node];
  if (!daemon.running || LifeOf(node).terminated.has_value() != again ||
      (!again && !MaySpare(node))) {
    return false;
  }
  if (!again) {
    daemon.restart_after = restart_after;
  }
  if (daemon.handles_terminate) {
    SendTerminate(node);
  } else {
    daemon.terminate_waits = true;
    log_->Write(fmt::format("SIGTERM waits for the start of node {}", node));
  }
  return true;
}

void DaemonGroup::SendTerminate(int node) {
  Daemon& daemon = daemons_[node];
  if (!LifeOf(node).terminated) {
    const SoakTime now = SteadyClock::now();
    LifeOf(node).terminated = now;
    daemon.must_exit_by =
        now + std::chrono::milliseconds(kDrainTimeoutMs) + kExitMargin;
    ++terminated_;
  }
  fleet_->nodes()[node].daemon->Signal(SIGTERM);
}

bool DaemonGroup::Kill(int node, double restart_after) {
  if (!MaySpare(node)) {
    return false;
  }
  daemons_[node].restart_after = restart_after;
  // Recorded first, so that no response lost by the kill seems to precede it.
  LifeOf(node).killed = SteadyClock::now();
  ++killed_;
  fleet_->nodes()[node].daemon->Signal(SIGKILL);
  return true;
}

void DaemonGroup::Pause(int node, double seconds) {
  Daemon& daemon = daemons_[node];
  if (!daemon.running) {
    return;
  }
  const SoakTime now = SteadyClock::now();
  if (!daemon.paused) {
    daemon.paused = now;
    daemon.resume_at = now;
    fleet_->nodes()[node].daemon->Signal(SIGSTOP);
  }
  daemon.resume_at = std::max(daemon.resume_at, now + FromSeconds(seconds));
}

void DaemonGroup::PauseTarget(int node, double seconds) {
  fleet_->nodes()[node].target->Signal(SIGSTOP);
  daemons_[node].target_resume_at = SteadyClock::now() + FromSeconds(seconds);
}

void DaemonGroup::Resume(int node) {
  Daemon& daemon = daemons_[node];
  NodeLife& life = LifeOf(node);
  const SoakTime now = SteadyClock::now();
  life.resumed = now;
  daemon.must_handle_by += now - *daemon.paused;
  if (life.terminated) {
    const auto paused = now - std::max(*daemon.paused, *life.terminated);
    daemon.must_exit_by += paused;
    daemon.paused_in_stop += paused;
  }
  daemon.paused.reset();
  fleet_->nodes()[node].daemon->Signal(SIGCONT);
  log_->Write(fmt::format("resume node {}", node));
}

void DaemonGroup::ResumeAll() {
  for (size_t i = 0; i < daemons_.size(); ++i) {
    if (daemons_[i].paused) {
      daemons_[i].resume_at = SteadyClock::now();
    }
    if (daemons_[i].target_resume_at) {
      daemons_[i].target_resume_at = SteadyClock::now();
    }
  }
  Poll();
}

void DaemonGroup::Poll() {
  for (size_t i = 0; i < daemons_.size(); ++i) {
    const int node = static_cast<int>(i);
    Daemon& daemon = daemons_[i];
    Fleet::Node& processes = fleet_->nodes()[i];
    const SoakTime now = SteadyClock::now();
    if (daemon.target_resume_at && now >= *daemon.target_resume_at) {
      processes.target->Signal(SIGCONT);
      daemon.target_resume_at.reset();
    }
    if (!processes.target->IsRunning()) {
      log_->ReportFailure(
          {.text = fmt::format("target of node {} ended", node), .node = node});
    }
    if (!daemon.running) {
      if (!stopping_all_ && now >= daemon.restart_at) {
        Start(node);
        log_->Write(fmt::format("start node {}", node));
      }
      continue;
    }
    if (const std::optional<int> status = processes.daemon->PollWaitStatus()) {
      OnExit(node, *status);
      continue;
    }
    if (daemon.paused && now >= daemon.resume_at) {
      Resume(node);
    }
    if (!daemon.handles_terminate && !daemon.paused) {
      PollHandler(node);
    }
    if (!daemon.paused && LifeOf(node).terminated && !LifeOf(node).killed &&
        now > daemon.must_exit_by) {
      log_->ReportFailure(
          {.text =
               fmt::format("node {} still runs after its drain timeout", node),
           .node = node,
           .limited_since = LifeOf(node).terminated});
      LifeOf(node).killed = now;
      processes.daemon->Signal(SIGKILL);
    }
  }
}

void DaemonGroup::PollHandler(int node) {
  Daemon& daemon = daemons_[node];
  const bool handles = fleet_->nodes()[node].daemon->Handles(SIGTERM);
  if (!handles && SteadyClock::now() <= daemon.must_handle_by) {
    return;
  }
  if (!handles) {
    log_->ReportFailure(
        {.text = fmt::format(
             "node {} does not handle SIGTERM {} ms after its start", node,
             kHandlerLimit.count()),
         .node = node,
         .limited_since = LifeOf(node).started});
  }
  daemon.handles_terminate = true;
  if (std::exchange(daemon.terminate_waits, false)) {
    log_->Write(fmt::format("SIGTERM to node {}", node));
    SendTerminate(node);
  }
}

void DaemonGroup::OnExit(int node, int wait_status) {
  Daemon& daemon = daemons_[node];
  NodeLife& life = LifeOf(node);
  const SoakTime now = SteadyClock::now();
  life.exited = now;
  daemon.running = false;
  daemon.paused.reset();
  daemon.restart_at = now + FromSeconds(daemon.restart_after);
  fleet_->nodes()[node].daemon.reset();
  const std::string text = WIFSIGNALED(wait_status)
                               ? fmt::format("node {} exit by signal {}", node,
                                             WTERMSIG(wait_status))
                               : fmt::format("node {} exit with code {}", node,
                                             WEXITSTATUS(wait_status));
  const bool by_kill = life.killed && WIFSIGNALED(wait_status) &&
                       WTERMSIG(wait_status) == SIGKILL;
  const bool by_stop = life.terminated && WIFEXITED(wait_status) &&
                       WEXITSTATUS(wait_status) == 0;
  const bool by_pause =
      life.terminated && WIFEXITED(wait_status) &&
      WEXITSTATUS(wait_status) == 1 &&
      now - *life.terminated >= std::chrono::milliseconds(kDrainTimeoutMs) &&
      now - *life.terminated - daemon.paused_in_stop < kDrainNeed;
  if (by_kill || by_stop || by_pause) {
    log_->Write(text);
  } else {
    // A stop that its drain timeout cuts short exits with 1.
    const bool by_time = life.terminated && WIFEXITED(wait_status) &&
                         WEXITSTATUS(wait_status) == 1;
    log_->ReportFailure(
        {.text = text,
         .node = node,
         .limited_since = by_time ? life.terminated : std::nullopt});
  }
}

std::vector<std::pair<std::string, pid_t>> DaemonGroup::Processes() const {
  std::vector<std::pair<std::string, pid_t>> processes;
  for (size_t i = 0; i < daemons_.size(); ++i) {
    const Fleet::Node& node = fleet_->nodes()[i];
    if (node.daemon) {
      processes.emplace_back(fmt::format("node {}", i), node.daemon->pid());
    }
    if (node.target) {
      processes.emplace_back(fmt::format("target of node {}", i),
                             node.target->pid());
    }
  }
  return processes;
}

bool DaemonGroup::AreAllRunning() const {
  for (size_t i = 0; i < daemons_.size(); ++i) {
    if (!daemons_[i].running || daemons_[i].terminate_waits ||
        LifeOf(static_cast<int>(i)).terminated) {
      return false;
    }
  }
  return true;
}

void DaemonGroup::TerminateAll() {
  stopping_all_ = true;
  for (size_t i = 0; i < daemons_.size(); ++i) {
    if (daemons_[i].running) {
      SendTerminate(static_cast<int>(i));
    }
  }
}

bool DaemonGroup::AreAllDown() const {
  return std::none_of(daemons_.begin(), daemons_.end(),
                      [](const Daemon& daemon) { return daemon.running; });
}

}  // namespace dragonflytack
