#ifndef TOOLS_SUPPORT_CHILD_PROCESS_H_
#define TOOLS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace dragonflytack {

// A child process. The destructor kills it by its process id.
class ChildProcess final {
 public:
  // Starts `arguments[0]`, an absolute or relative path, with standard output
  // and error appended to `log_path`. Returns std::nullopt if the process
  // cannot be created. The child is killed when the calling thread ends, so a
  // short-lived thread must not start one.
  static std::optional<ChildProcess> Start(
      const std::vector<std::string>& arguments,
      const std::string& log_path);

  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  void Signal(int signal) const;

  // Kills the process and waits until it has exited.
  void Kill();

  // Waits up to `timeout_ms` for the process to exit and returns its exit code.
  // Returns std::nullopt if it is still running or was terminated by a signal.
  std::optional<int> WaitExit(int timeout_ms);

  // Returns the wait status, as of waitpid(), if the process has exited since
  // the last call of this class that waited for it. Does not block.
  std::optional<int> PollWaitStatus();

  bool IsRunning();

  // Returns whether the program catches `signal` or blocks it until it does.
  // False before the program has begun, which takes milliseconds after Start(),
  // and for a process that has exited.
  bool Handles(int signal) const;

  // Returns the resident memory in bytes, including pages of shared libraries;
  // 0 if the process has exited.
  int64_t ResidentBytes() const;

  // Returns the processor time used so far, user and system, in seconds.
  double CpuSeconds() const;

  pid_t pid() const { return pid_; }

 private:
  explicit ChildProcess(pid_t pid) : pid_(pid) {}

  pid_t pid_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_CHILD_PROCESS_H_
