#include "daemon/daemon_main.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "call_fixture.h"
#include "daemon/environment.h"

namespace dragonflytack {

namespace {

// A daemon in a child process. Its settings file is a named pipe, so that the
// test knows when the daemon has begun to run and decides when it goes on.
class DaemonProcess final {
 public:
  // `how` changes the signal mask of the process before the daemon runs, either
  // SIG_UNBLOCK or SIG_BLOCK.
  explicit DaemonProcess(int how = SIG_UNBLOCK) {
    std::string directory = "/tmp/dragonflytack_test_XXXXXX";
    cr_assert(mkdtemp(directory.data()) != nullptr);
    directory_ = directory;
    config_ = directory_ + "/settings.ini";
    cr_assert_eq(mkfifo(config_.c_str(), S_IRUSR | S_IWUSR), 0);
    pid_ = fork();
    cr_assert_geq(pid_, 0);
    if (pid_ == 0) {
      Run(how);
    }
    // Opening fails until the daemon has opened the other end.
    for (int i = 0; i < 5000 && pipe_ < 0; ++i) {
      pipe_ = open(config_.c_str(), O_WRONLY | O_NONBLOCK);
      std::this_thread::sleep_for(Milliseconds(1));
    }
    cr_assert_geq(pipe_, 0, "the daemon does not read its settings");
  }

  ~DaemonProcess() {
    std::remove(config_.c_str());
    rmdir(directory_.c_str());
  }

  // Lets the daemon read its settings and go on. The file is a regular one from
  // now on.
  void Continue() {
    const std::string text = fmt::format(
        "[node]\nid=n1\nregion=r\ndata_centre=d\naddress={0}\ncall_port=7001\n"
        "mesh_port=7002\npeer_port=7003\nadmin_port=7004\n[store]\n"
        "address={0}\nport=7006\nregion=r\n[security]\n"
        "shared_key=0123456789abcdef\n",
        LoopbackAddress(0));
    const std::string regular = directory_ + "/regular";
    std::ofstream(regular) << text;
    cr_assert_eq(std::rename(regular.c_str(), config_.c_str()), 0);
    cr_assert_eq(write(pipe_, text.data(), text.size()),
                 static_cast<ssize_t>(text.size()));
    close(pipe_);
  }

  void Signal(int signal) const { cr_assert_eq(kill(pid_, signal), 0); }

  // Returns the wait status after the end of the process. A daemon that does
  // not end is killed after 5 s.
  int Wait() const {
    int status = 0;
    for (int i = 0; i < 5000; ++i) {
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        return status;
      }
      std::this_thread::sleep_for(Milliseconds(1));
    }
    kill(pid_, SIGKILL);
    waitpid(pid_, &status, 0);
    return status;
  }

 private:
  [[noreturn]] void Run(int how) {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
      std::signal(signal, SIG_DFL);
      sigaddset(&signals, signal);
    }
    sigprocmask(how, &signals, nullptr);
    const int null = open("/dev/null", O_WRONLY);
    dup2(null, STDOUT_FILENO);
    std::string name = "dragonflytackd";
    std::string option = "--config";
    char* arguments[] = {name.data(), option.data(), config_.data(), nullptr};
    _exit(RunDaemon(3, arguments, "", Environment::Native()));
  }

  std::string directory_;
  std::string config_;
  pid_t pid_ = -1;
  int pipe_ = -1;
};

}  // namespace

// Guards against a SIGTERM, SIGINT or SIGHUP that ends a starting process by
// the signal because its handlers are not registered yet.
Test(daemon_main, signals_before_the_settings_are_read_are_handled) {
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    DaemonProcess daemon;
    daemon.Signal(signal);
    daemon.Continue();
    if (signal == SIGHUP) {
      daemon.Signal(SIGTERM);
    }
    const int status = daemon.Wait();
    cr_expect(WIFEXITED(status) && WEXITSTATUS(status) == 0,
              "signal %d: wait status %d", signal, status);
  }
}

// Guards against a daemon that cannot be stopped if its supervisor starts it
// with blocked signals, which loses none while the program is loaded.
Test(daemon_main, signals_that_are_blocked_at_the_start_are_handled) {
  DaemonProcess daemon(SIG_BLOCK);
  daemon.Signal(SIGTERM);
  daemon.Continue();
  const int status = daemon.Wait();
  cr_expect(WIFEXITED(status) && WEXITSTATUS(status) == 0, "wait status %d",
            status);
}

// Guards against an ordinary stop that is not possible at some moment of the
// start.
Test(daemon_main, sigterm_in_the_first_milliseconds_exits_with_0) {
  for (int half_ms = 0; half_ms < 40; ++half_ms) {
    DaemonProcess daemon;
    daemon.Continue();
    std::this_thread::sleep_for(std::chrono::microseconds(500 * half_ms));
    daemon.Signal(SIGTERM);
    const int status = daemon.Wait();
    cr_expect(WIFEXITED(status) && WEXITSTATUS(status) == 0,
              "after %d half milliseconds: wait status %d", half_ms, status);
  }
}

}  // namespace dragonflytack
