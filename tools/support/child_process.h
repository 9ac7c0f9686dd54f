#ifndef TOOLS_SUPPORT_CHILD_PROCESS_H_
#define TOOLS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace dragonflytack {

// A program that the driver started. Destroying the object kills the program by
// its process id.
class ChildProcess final {
 public:
  // The program is killed when the calling thread ends, so a short-lived thread
  // must not start one. Starts `arguments[0]`, an absolute or relative path,
  // with standard output and error appended to `log_path`. Returns nothing when
  // the process cannot be made.
  static std::optional<ChildProcess> Start(
      const std::vector<std::string>& arguments,
      const std::string& log_path);

  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  void Signal(int signal) const;

  // Kills the program and waits for its end.
  void Kill();

  // Waits up to `timeout_ms` for the end and returns the exit code; nothing
  // when it still runs or was ended by a signal.
  std::optional<int> WaitExit(int timeout_ms);

  bool IsRunning();

  // Resident memory in bytes, pages of shared libraries included; 0 when the
  // process has ended.
  int64_t ResidentBytes() const;

  // Processor time used so far, user and system, in seconds.
  double CpuSeconds() const;

  pid_t pid() const { return pid_; }

 private:
  explicit ChildProcess(pid_t pid) : pid_(pid) {}

  pid_t pid_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_CHILD_PROCESS_H_
