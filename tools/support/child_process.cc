#include "support/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <thread>
#include <utility>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

constexpr int kExecFailed = 127;
constexpr int kPollMs = 5;
constexpr pid_t kNoProcess = -1;
constexpr int kMaxStatusLineBytes = 1024;

[[noreturn]] void RunProgram(const std::vector<std::string>& arguments,
                             const std::string& log_path) {
  // The program must not outlive its parent, even if that is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log =
      open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log >= 0) {
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
  }
  // An inherited socket would keep a connection open that the parent closes.
  constexpr unsigned kFirstInherited = STDERR_FILENO + 1;
  close_range(kFirstInherited, ~0U, 0);
  // Ignored signals are inherited.
  std::signal(SIGPIPE, SIG_DFL);
  std::vector<char*> pointers;
  for (const std::string& argument : arguments) {
    pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  pointers.push_back(nullptr);
  execv(pointers[0], pointers.data());
  _exit(kExecFailed);
}

}  // namespace

std::optional<ChildProcess> ChildProcess::Start(
    const std::vector<std::string>& arguments,
    const std::string& log_path) {
  const pid_t pid = fork();
  if (pid < 0) {
    return std::nullopt;
  }
  if (pid == 0) {
    RunProgram(arguments, log_path);
  }
  return ChildProcess(pid);
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, kNoProcess)) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  if (this != &other) {
    Kill();
    pid_ = std::exchange(other.pid_, kNoProcess);
  }
  return *this;
}

ChildProcess::~ChildProcess() {
  Kill();
}

void ChildProcess::Signal(int signal) const {
  if (pid_ != kNoProcess) {
    kill(pid_, signal);
  }
}

void ChildProcess::Kill() {
  if (pid_ == kNoProcess) {
    return;
  }
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = kNoProcess;
}

std::optional<int> ChildProcess::WaitExit(int timeout_ms) {
  for (int waited = 0; pid_ != kNoProcess; waited += kPollMs) {
    if (const std::optional<int> status = PollWaitStatus()) {
      return WIFEXITED(*status) ? std::optional<int>(WEXITSTATUS(*status))
                                : std::nullopt;
    }
    if (waited >= timeout_ms) {
      break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
  }
  return std::nullopt;
}

std::optional<int> ChildProcess::PollWaitStatus() {
  int status = 0;
  if (pid_ == kNoProcess || waitpid(pid_, &status, WNOHANG) != pid_) {
    return std::nullopt;
  }
  pid_ = kNoProcess;
  return status;
}

bool ChildProcess::IsRunning() {
  PollWaitStatus();
  return pid_ != kNoProcess;
}

bool ChildProcess::Handles(int signal) const {
  std::ifstream status(fmt::format("/proc/{}/status", pid_));
  std::string name;
  uint64_t signals = 0;
  while (status >> name) {
    if (name == "SigBlk:" || name == "SigCgt:") {
      uint64_t mask = 0;
      status >> std::hex >> mask;
      signals |= mask;
    }
    status.ignore(kMaxStatusLineBytes, '\n');
  }
  // Bit 0 is signal 1.
  return (signals >> (signal - 1) & 1) != 0;
}

int64_t ChildProcess::ResidentBytes() const {
  std::ifstream status(fmt::format("/proc/{}/status", pid_));
  constexpr int64_t kBytesPerKilobyte = 1024;
  std::string name;
  while (status >> name) {
    if (name == "VmRSS:") {
      int64_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes * kBytesPerKilobyte;
    }
    status.ignore(kMaxStatusLineBytes, '\n');
  }
  return 0;
}

double ChildProcess::CpuSeconds() const {
  std::ifstream stat(fmt::format("/proc/{}/stat", pid_));
  std::string field;
  // Fields 14 and 15 are the user and system time in clock ticks. Field 2, the
  // program name, contains no spaces here.
  constexpr int kSkippedFields = 13;
  for (int i = 0; i < kSkippedFields; ++i) {
    stat >> field;
  }
  double user_ticks = 0;
  double system_ticks = 0;
  stat >> user_ticks >> system_ticks;
  return (user_ticks + system_ticks) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace dragonflytack
