#include "dragonflytack/base/crash_handler.h"

#include <cxxabi.h>
#include <execinfo.h>
#include <fcntl.h>
#include <link.h>
#include <poll.h>
#include <signal.h>
#include <ucontext.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <climits>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <string>
#include <typeinfo>

#include <nlohmann/json.hpp>

namespace dragonflytack {

namespace {

// Handlers may only use async-signal-safe functions. Everything that allocates
// or locks is therefore done by Install(), which fills these objects.

constexpr int kSignals[] = {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};
constexpr int kMaxFrames = 48;
constexpr size_t kMaxModules = 48;
constexpr size_t kMaxNameBytes = 40;
// Maximum time for which a crashing process waits for room in its output.
constexpr int kOutputWaitMs = 200;
// Maximum time for which a second thread that crashes waits for the line of the
// first one.
constexpr int kOtherThreadWaitMs = 1000;

// An executable segment of the program or of a library.
struct Module {
  uintptr_t base = 0;
  uintptr_t begin = 0;
  uintptr_t end = 0;
  char name[kMaxNameBytes] = {};
};

std::array<Module, kMaxModules> g_modules;
size_t g_module_count = 0;
// The part of the line after the time, with level, event and node.
char g_header[512] = {};
// Thread that writes the line; 0 before the crash.
std::atomic<pid_t> g_crashed_thread = 0;
// Whether that thread is reading its stack.
std::atomic<bool> g_unwinding = false;
std::atomic<int> g_signal = 0;
// Address of the instruction that was interrupted, 0 if it is not known.
std::atomic<uintptr_t> g_program_counter = 0;
// Whether the instruction caused the signal, and the address that it accessed.
// Otherwise a process sent the signal.
std::atomic<bool> g_has_address = false;
std::atomic<uintptr_t> g_accessed_address = 0;
// Whether std::terminate() was called, and the mangled name of the type of its
// exception, if any.
std::atomic<bool> g_terminated = false;
std::atomic<const char*> g_exception = nullptr;

// A line of at most PIPE_BUF bytes, the largest write to a pipe that is atomic.
class Line final {
 public:
  // Bytes that are kept free for the end of the line.
  static constexpr size_t kReservedBytes = 8;

  bool Fits(size_t size) const {
    return size_ + size + kReservedBytes <= sizeof(bytes_);
  }

  // Appends text up to the end of the buffer.
  void Add(const char* text) {
    for (; *text != '\0' && size_ < sizeof(bytes_); ++text) {
      bytes_[size_++] = *text;
    }
  }

  // Appends text of a JSON string. Other bytes than printable ASCII and those
  // that JSON escapes become '?'.
  void AddEscaped(const char* text) {
    for (; *text != '\0'; ++text) {
      const bool plain =
          *text >= ' ' && *text <= '~' && *text != '"' && *text != '\\';
      const char byte[] = {plain ? *text : '?', '\0'};
      Add(byte);
    }
  }

  // Appends at least `digits` digits.
  void AddNumber(uint64_t value, unsigned base = 10, int digits = 1) {
    char text[24];
    char* begin = text + sizeof(text) - 1;
    *begin = '\0';
    for (; digits > 0 || value > 0; --digits, value /= base) {
      *--begin = "0123456789abcdef"[value % base];
    }
    Add(begin);
  }

  const char* data() const { return bytes_; }
  size_t size() const { return size_; }

 private:
  char bytes_[PIPE_BUF];
  size_t size_ = 0;
};

const char* SignalName(int signal) {
  switch (signal) {
    case SIGSEGV:
      return "SIGSEGV";
    case SIGBUS:
      return "SIGBUS";
    case SIGFPE:
      return "SIGFPE";
    case SIGILL:
      return "SIGILL";
    default:
      return "SIGABRT";
  }
}

// Appends the time as Logger does. gmtime_r() may lock, so it is not used.
void AddTime(Line* line) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  const std::chrono::sys_seconds seconds{std::chrono::seconds(now.tv_sec)};
  const auto day = std::chrono::floor<std::chrono::days>(seconds);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss time(seconds - day);
  constexpr uint64_t kNanosPerMilli = 1'000'000;
  line->AddNumber(static_cast<uint64_t>(int{date.year()}), 10, 4);
  line->Add("-");
  line->AddNumber(unsigned{date.month()}, 10, 2);
  line->Add("-");
  line->AddNumber(unsigned{date.day()}, 10, 2);
  line->Add("T");
  line->AddNumber(static_cast<uint64_t>(time.hours().count()), 10, 2);
  line->Add(":");
  line->AddNumber(static_cast<uint64_t>(time.minutes().count()), 10, 2);
  line->Add(":");
  line->AddNumber(static_cast<uint64_t>(time.seconds().count()), 10, 2);
  line->Add(".");
  line->AddNumber(static_cast<uint64_t>(now.tv_nsec) / kNanosPerMilli, 10, 3);
  line->Add("Z");
}

// Appends an address as "module+0x1a2b", or as "0x1a2b" if it is in no module.
void AddAddress(Line* line, uintptr_t address) {
  const auto end = g_modules.cbegin() + g_module_count;
  const auto module =
      std::find_if(g_modules.cbegin(), end, [address](const Module& candidate) {
        return address >= candidate.begin && address < candidate.end;
      });
  if (module != end) {
    line->AddEscaped(module->name);
    line->Add("+");
    address -= module->base;
  }
  line->Add("0x");
  line->AddNumber(address, 16);
}

// Returns the address of the instruction that was interrupted, 0 if the
// processor is not known.
uintptr_t ProgramCounter(const void* context) {
  [[maybe_unused]] const auto& machine =
      static_cast<const ucontext_t*>(context)->uc_mcontext;
#if defined(__x86_64__)
  return static_cast<uintptr_t>(machine.gregs[REG_RIP]);
#elif defined(__aarch64__)
  return machine.pc;
#else
  return 0;
#endif
}

// Appends the interrupted instruction and the calls that led to it.
void AddStack(Line* line, uintptr_t program_counter, bool unwind) {
  line->Add(",\"stack\":[\"");
  AddAddress(line, program_counter);
  line->Add("\"");
  void* frames[kMaxFrames];
  const int count = unwind ? backtrace(frames, kMaxFrames) : 0;
  // The frames before the program counter are those of this handler.
  int first = 0;
  for (int i = 0; i < count; ++i) {
    if (reinterpret_cast<uintptr_t>(frames[i]) == program_counter) {
      first = i + 1;
    }
  }
  for (int i = first; i < count && line->Fits(kMaxNameBytes + 24); ++i) {
    line->Add(",\"");
    // The return address may belong to the next line of the source; the byte
    // before it belongs to the call.
    AddAddress(line, reinterpret_cast<uintptr_t>(frames[i]) - 1);
    line->Add("\"");
  }
  line->Add("]");
}

// Writes to the standard output. Gives up after kOutputWaitMs if it has no
// room.
void Write(const Line& line) {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&output, 1, kOutputWaitMs) != 1) {
    return;
  }
  // Another thread or process may have taken the room since, so the write must
  // not block. The flag is shared with other processes and is restored.
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  [[maybe_unused]] const ssize_t written =
      write(STDOUT_FILENO, line.data(), line.size());
  fcntl(STDOUT_FILENO, F_SETFL, flags);
}

void WriteCrash(bool unwind) {
  const int signal = g_signal;
  Line line;
  line.Add("{\"time\":\"");
  AddTime(&line);
  line.Add(g_header);
  line.Add(",\"signal\":");
  line.AddNumber(static_cast<uint64_t>(signal));
  line.Add(",\"name\":\"");
  line.Add(SignalName(signal));
  line.Add("\",\"thread\":");
  line.AddNumber(static_cast<uint64_t>(gettid()));
  if (g_has_address) {
    line.Add(",\"address\":\"0x");
    line.AddNumber(g_accessed_address, 16);
    line.Add("\"");
  }
  if (g_terminated) {
    const char* const exception = g_exception;
    line.Add(",\"exception\":\"");
    line.AddEscaped(exception == nullptr ? "" : exception);
    line.Add("\"");
  }
  AddStack(&line, g_program_counter, unwind);
  line.Add("}\n");
  Write(line);
}

void OnSignal(int signal, siginfo_t* info, void* context) {
  pid_t crashed_thread = 0;
  if (g_crashed_thread.compare_exchange_strong(crashed_thread, gettid())) {
    g_signal = signal;
    g_program_counter = ProgramCounter(context);
    g_has_address = info->si_code > 0;
    g_accessed_address = reinterpret_cast<uintptr_t>(info->si_addr);
    g_unwinding = true;
    WriteCrash(true);
    g_unwinding = false;
  } else if (crashed_thread != gettid()) {
    poll(nullptr, 0, kOtherThreadWaitMs);
  } else if (g_unwinding.exchange(false)) {
    // The stack is damaged, so that reading it failed.
    WriteCrash(false);
  }
  const int original = g_signal;
  struct sigaction action {};
  action.sa_handler = SIG_DFL;
  sigaction(original, &action, nullptr);
  raise(original);
}

// Writes nothing itself: the handler of SIGABRT writes the line.
[[noreturn]] void OnTerminate() {
  const std::type_info* const type = abi::__cxa_current_exception_type();
  g_exception = type == nullptr ? nullptr : type->name();
  g_terminated = true;
  std::abort();
}

// Returns the last component of a path.
std::string_view BaseName(std::string_view path) {
  return path.substr(path.rfind('/') + 1);
}

// Records the executable segments of one module; the program itself has no
// name.
int AddModule(dl_phdr_info* info, size_t /*size*/, void* program_name) {
  const std::string_view name =
      info->dlpi_name == nullptr || *info->dlpi_name == '\0'
          ? std::string_view(*static_cast<const std::string*>(program_name))
          : BaseName(info->dlpi_name);
  for (int i = 0; i < info->dlpi_phnum; ++i) {
    const auto& header = info->dlpi_phdr[i];
    if (header.p_type != PT_LOAD || (header.p_flags & PF_X) == 0 ||
        g_module_count == kMaxModules) {
      continue;
    }
    Module& module = g_modules[g_module_count++];
    module.base = info->dlpi_addr;
    module.begin = module.base + header.p_vaddr;
    module.end = module.begin + header.p_memsz;
    name.copy(module.name, kMaxNameBytes - 1);
  }
  return 0;
}

void RecordModules() {
  char path[PATH_MAX];
  const ssize_t size = readlink("/proc/self/exe", path, sizeof(path));
  std::string name(
      BaseName({path, static_cast<size_t>(std::max<ssize_t>(size, 0))}));
  g_module_count = 0;
  dl_iterate_phdr(&AddModule, &name);
}

}  // namespace

void CrashHandler::Install(std::string_view node) {
  RecordModules();
  std::string header = R"(","level":"error","event":"crashed")";
  constexpr size_t kMaxNodeBytes = 64;
  if (!node.empty()) {
    header +=
        ",\"node\":" +
        nlohmann::json(node.substr(0, kMaxNodeBytes))
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  header.copy(g_header, sizeof(g_header) - 1);
  // The first call loads the unwinder, which allocates.
  void* frame = nullptr;
  backtrace(&frame, 1);
  std::set_terminate(&OnTerminate);
  for (const int signal : kSignals) {
    struct sigaction current {};
    if (sigaction(signal, nullptr, &current) != 0 ||
        (current.sa_flags & SA_SIGINFO) != 0 || current.sa_handler != SIG_DFL) {
      continue;
    }
    struct sigaction action {};
    action.sa_sigaction = &OnSignal;
    // SA_NODEFER: a fault while the stack is read must reach the handler.
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_NODEFER;
    sigaction(signal, &action, nullptr);
  }
}

}  // namespace dragonflytack
