#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <thread>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "call_fixture.h"
#include "daemon/daemon_main.h"
#include "daemon/environment.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kPollPeriod{5};
constexpr Milliseconds kLimit{10'000};

// Runs a daemon with the settings file `path` in a child process and returns
// its process id.
pid_t StartDaemon(std::string path) {
  const pid_t child = fork();
  cr_assert_geq(child, 0);
  if (child == 0) {
    std::signal(SIGTERM, SIG_DFL);
    // The log of the daemon does not belong to the output of the tests.
    const int null = open("/dev/null", O_WRONLY | O_CLOEXEC);
    dup2(null, STDOUT_FILENO);
    std::string program = "dragonflytackd";
    std::string option = "--config";
    char* arguments[] = {program.data(), option.data(), path.data(), nullptr};
    _exit(RunDaemon(3, arguments, {}, Environment::Native()));
  }
  return child;
}

// Opens the named pipe `path` for writing once a process has it open for
// reading. Returns -1 if none does in time.
int OpenForReader(const std::string& path) {
  int pipe = -1;
  for (auto waited = Milliseconds(0); pipe < 0 && waited < kLimit;
       waited += kPollPeriod) {
    std::this_thread::sleep_for(kPollPeriod);
    pipe = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
  }
  return pipe;
}

// Returns the wait status of a child process, which is killed if it does not
// end in time.
int WaitForEnd(pid_t child) {
  int status = 0;
  for (auto waited = Milliseconds(0); waited < kLimit; waited += kPollPeriod) {
    if (waitpid(child, &status, WNOHANG) == child) {
      return status;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  kill(child, SIGKILL);
  waitpid(child, &status, 0);
  return status;
}

}  // namespace

// Guards against a SIGTERM that arrives while the daemon starts and ends the
// process by the signal, or is lost so that the daemon keeps running.
Test(daemon_start, sigterm_before_the_signal_handlers_is_a_graceful_stop) {
  std::string folder = "/tmp/dragonflytack_test_XXXXXX";
  cr_assert_not_null(mkdtemp(folder.data()));
  const std::string path = folder + "/settings.ini";
  cr_assert_eq(mkfifo(path.c_str(), 0600), 0);
  const pid_t child = StartDaemon(path);
  // The daemon has opened its settings and waits for the text.
  const int pipe = OpenForReader(path);
  cr_assert_geq(pipe, 0);
  kill(child, SIGTERM);
  const std::string settings = fmt::format(
      "[node]\nid=n1\nregion=r\ndata_centre=d\naddress={0}\ncall_port=7001\n"
      "mesh_port=7002\npeer_port=7003\nadmin_port=7004\n"
      "[store]\naddress={0}\nport=7006\nregion=r\n",
      LoopbackAddress(0));
  // Without the fix the daemon has ended, and the write must not end the test.
  std::signal(SIGPIPE, SIG_IGN);
  cr_expect_eq(write(pipe, settings.data(), settings.size()),
               static_cast<ssize_t>(settings.size()));
  close(pipe);
  const int status = WaitForEnd(child);
  cr_expect(WIFEXITED(status) && WEXITSTATUS(status) == 0,
            "wait status %d, signal %d", status, WTERMSIG(status));
  std::filesystem::remove_all(folder);
}

}  // namespace dragonflytack
