#include "dragonflytack/base/crash_handler.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <functional>
#include <limits>
#include <memory>
#include <regex>
#include <stdexcept>
#include <string>
#include <thread>
#include <typeinfo>

#include <criterion/criterion.h>
#include <event2/event.h>
#include <nlohmann/json.hpp>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/manual_clock.h"
#include "dragonflytack/base/signal_stack.h"

namespace dragonflytack {

namespace {

// What a child process wrote to its standard output, and its wait status.
struct Crash {
  std::string output;
  int status = 0;
};

void WriteToProtectedPage() {
  void* const page =
      mmap(nullptr, 4096, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  *static_cast<volatile char*>(page) = 1;
}

// The compiler must neither remove the recursion nor see that it has no end.
// NOLINTNEXTLINE(misc-no-recursion)
__attribute__((noinline)) int Recurse(const volatile int* limit, int depth) {
  volatile char frame[1024];
  frame[depth % sizeof(frame)] = static_cast<char>(depth);
  const int deeper = depth == *limit ? 0 : Recurse(limit, depth + 1);
  return deeper + frame[depth % sizeof(frame)];
}

void OverflowStack() {
  const volatile int limit = std::numeric_limits<int>::max();
  Recurse(&limit, 0);
}

// An exception that leaves the function of a thread, such as that of the call
// task.
void ThrowUncaught() {
  std::thread([] {
    throw std::runtime_error("a detail that must not be in the log");
  }).join();
}

void JumpToNull() {
  void (*volatile function)() = nullptr;
  function();
}

// Runs `crash` with the handler installed in a child process. `read_output` is
// false for a reader that never reads: the pipe is full then. Sanitizers have
// handlers of their own, which CrashHandler would keep, so the child removes
// them.
Crash RunInChild(const std::function<void()>& crash, bool read_output = true) {
  int ends[2];
  cr_assert_eq(pipe(ends), 0);
  const pid_t child = fork();
  if (child == 0) {
    const rlimit no_core{0, 0};
    setrlimit(RLIMIT_CORE, &no_core);
    dup2(ends[1], STDOUT_FILENO);
    for (const int signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
      std::signal(signal, SIG_DFL);
    }
    if (!read_output) {
      const int flags = fcntl(STDOUT_FILENO, F_GETFL);
      fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
      while (write(STDOUT_FILENO, "x", 1) == 1) {
      }
      fcntl(STDOUT_FILENO, F_SETFL, flags);
    }
    const SignalStack signal_stack;
    CrashHandler::Install("n\"1");
    crash();
    _exit(0);
  }
  cr_assert_gt(child, 0);
  close(ends[1]);
  Crash result;
  char bytes[65'536];
  for (ssize_t count = 0;
       read_output && (count = read(ends[0], bytes, sizeof(bytes))) > 0;) {
    result.output.append(bytes, static_cast<size_t>(count));
  }
  cr_assert_eq(waitpid(child, &result.status, 0), child);
  close(ends[0]);
  return result;
}

// Expects one line about `signal`, and that the signal ended the process.
// Returns the line.
nlohmann::json ExpectLine(const Crash& crash, int signal, const char* name) {
  cr_expect(WIFSIGNALED(crash.status) && WTERMSIG(crash.status) == signal,
            "%s: wait status %d", name, crash.status);
  const size_t end = crash.output.find('\n');
  cr_expect(end != std::string::npos && end + 1 == crash.output.size(),
            "%s: %s", name, crash.output.c_str());
  const auto line = nlohmann::json::parse(crash.output, nullptr, false);
  cr_assert(line.is_object(), "%s: %s", name, crash.output.c_str());
  cr_expect(line["event"] == "crashed" && line["level"] == "error" &&
                line["node"] == "n\"1" && line["signal"] == signal &&
                line["name"] == name,
            "%s", crash.output.c_str());
  cr_expect(
      std::regex_match(line["time"].get<std::string>(),
                       std::regex(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z)")),
      "%s", crash.output.c_str());
  cr_assert(line["stack"].is_array() && !line["stack"].empty(), "%s",
            crash.output.c_str());
  return line;
}

// Returns how many entries of the stack are offsets in this executable.
size_t FramesOfProgram(const nlohmann::json& line) {
  size_t count = 0;
  const std::regex pattern("dragonflytack_tests\\+0x[0-9a-f]+");
  for (const auto& frame : line["stack"]) {
    count += std::regex_match(frame.get<std::string>(), pattern);
  }
  return count;
}

}  // namespace

// Guards against a process that ends by a fault without a line in its log, and
// against an exit status that hides the signal.
Test(crash_handler,
     each_fault_writes_one_line_and_keeps_its_signal,
     .timeout = 60) {
  const struct {
    int signal;
    const char* name;
    std::function<void()> crash;
  } cases[] = {
      {SIGSEGV, "SIGSEGV", WriteToProtectedPage},
      {SIGSEGV, "SIGSEGV", OverflowStack},
      {SIGSEGV, "SIGSEGV", JumpToNull},
      {SIGABRT, "SIGABRT", [] { std::abort(); }},
      {SIGABRT, "SIGABRT", ThrowUncaught},
      {SIGBUS, "SIGBUS", [] { raise(SIGBUS); }},
      {SIGFPE, "SIGFPE", [] { raise(SIGFPE); }},
      {SIGILL, "SIGILL", [] { raise(SIGILL); }},
  };
  for (const auto& fault : cases) {
    const auto line =
        ExpectLine(RunInChild(fault.crash), fault.signal, fault.name);
    cr_expect_gt(FramesOfProgram(line), 0u, "%s", line.dump().c_str());
  }
}

// Guards against a stack overflow in a thread other than the first one that
// leaves no line.
Test(crash_handler, reports_a_stack_overflow_of_a_thread, .timeout = 60) {
  const Crash crash = RunInChild([] {
    std::thread([] {
      const SignalStack signal_stack;
      OverflowStack();
    }).join();
  });
  ExpectLine(crash, SIGSEGV, "SIGSEGV");
}

// Guards against texts of exceptions in the log, which may contain keys, and
// against an uncaught exception that looks like an assertion.
Test(crash_handler, uncaught_exception_is_named_by_its_type, .timeout = 60) {
  const Crash uncaught = RunInChild(ThrowUncaught);
  cr_expect(ExpectLine(uncaught, SIGABRT, "SIGABRT")["exception"] ==
            typeid(std::runtime_error).name());
  cr_expect(uncaught.output.find("detail") == std::string::npos);
  const Crash terminated = RunInChild([] { std::terminate(); });
  cr_expect(ExpectLine(terminated, SIGABRT, "SIGABRT")["exception"]
                .get<std::string>()
                .empty());
  const Crash aborted = RunInChild([] { std::abort(); });
  cr_expect_not(ExpectLine(aborted, SIGABRT, "SIGABRT").contains("exception"));
}

// Guards against a process that libevent ends by exit(1), with no line in the
// log, because its own state is not valid.
Test(crash_handler, reports_a_fatal_error_of_libevent, .timeout = 60) {
  const Crash crash = RunInChild([] {
    const ManualClock clock;
    const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
    // The debug mode may only be enabled before the first loop is made.
    event_enable_debug_mode();
  });
  const auto line = ExpectLine(crash, SIGABRT, "SIGABRT");
  cr_expect_gt(FramesOfProgram(line), 0u, "%s", line.dump().c_str());
}

// Guards against the id of a sending process that looks like an address.
Test(crash_handler, signal_of_a_process_has_no_address, .timeout = 60) {
  const Crash crash = RunInChild([] { kill(getpid(), SIGSEGV); });
  cr_expect_not(ExpectLine(crash, SIGSEGV, "SIGSEGV").contains("address"));
}

// Guards against offsets that do not identify the code: addr2line expects them
// relative to the load address.
Test(crash_handler,
     first_entry_of_the_stack_is_the_faulting_function,
     .timeout = 60) {
  const auto line =
      ExpectLine(RunInChild(WriteToProtectedPage), SIGSEGV, "SIGSEGV");
  cr_expect(line.contains("address"));
  const auto frame = line["stack"][0].get<std::string>();
  const size_t plus = frame.find("+0x");
  cr_assert(plus != std::string::npos, "%s", frame.c_str());
  const std::string command = "addr2line -f -e /proc/" +
                              std::to_string(getpid()) + "/exe " +
                              frame.substr(plus + 1);
  FILE* const output = popen(command.c_str(), "r");
  cr_assert_not_null(output);
  char function[256] = {};
  cr_assert_not_null(fgets(function, sizeof(function), output));
  pclose(output);
  cr_expect(std::strstr(function, "WriteToProtectedPage") != nullptr, "%s: %s",
            frame.c_str(), function);
}

// Guards against a crashing process that hangs because the reader of its output
// has stopped reading.
Test(crash_handler, full_pipe_does_not_block_the_end, .timeout = 30) {
  const Crash crash = RunInChild(WriteToProtectedPage, false);
  cr_expect(WIFSIGNALED(crash.status) && WTERMSIG(crash.status) == SIGSEGV);
}

// Guards against two lines, or none, if threads crash at the same time.
Test(crash_handler, threads_that_crash_together_write_one_line, .timeout = 60) {
  for (int i = 0; i < 20; ++i) {
    const Crash crash = RunInChild([] {
      std::thread other(WriteToProtectedPage);
      WriteToProtectedPage();
      other.join();
    });
    ExpectLine(crash, SIGSEGV, "SIGSEGV");
  }
}

// Guards against a handler that replaces the one of a sanitizer.
Test(crash_handler, keeps_a_handler_that_is_installed) {
  const Crash crash = RunInChild([] {});
  cr_expect(WIFEXITED(crash.status) && crash.output.empty());
  const auto keep = [](int) {};
  std::signal(SIGFPE, keep);
  CrashHandler::Install("n1");
  cr_expect(std::signal(SIGFPE, SIG_DFL) == static_cast<sighandler_t>(keep));
}

}  // namespace dragonflytack
