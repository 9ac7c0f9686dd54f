#include <signal.h>
#include <unistd.h>
#include <array>
#include <cstddef>
#include <exception>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "dragonflytack/base/hash.h"
#include "fuzz/entry_point.h"
#include "mutation.h"

namespace dragonflytack {

namespace {

// Prints the input under test if a signal terminates the process. Criterion's
// report contains only the signal.
class CrashReport final {
 public:
  CrashReport() {
    // A handler for a stack overflow needs a separate stack.
    static std::array<std::byte, 65'536> stack;
    const stack_t alternative{
        .ss_sp = stack.data(), .ss_flags = 0, .ss_size = stack.size()};
    sigaltstack(&alternative, nullptr);
    for (size_t i = 0; i < kSignals.size(); ++i) {
      struct sigaction action {};
      action.sa_handler = &OnSignal;
      action.sa_flags = SA_ONSTACK;
      sigaction(kSignals[i], &action, &earlier_[i]);
    }
  }
  CrashReport(const CrashReport&) = delete;
  CrashReport& operator=(const CrashReport&) = delete;
  ~CrashReport() { Restore(); }

  void Set(std::string description) { description_ = std::move(description); }

 private:
  static constexpr std::array<int, 5> kSignals = {SIGSEGV, SIGABRT, SIGBUS,
                                                  SIGFPE, SIGILL};

  static void Restore() {
    for (size_t i = 0; i < kSignals.size(); ++i) {
      sigaction(kSignals[i], &earlier_[i], nullptr);
    }
  }

  // Calls only async-signal-safe functions.
  static void OnSignal(int signal) {
    const char heading[] = "crashed on ";
    (void)!write(STDERR_FILENO, heading, sizeof(heading) - 1);
    (void)!write(STDERR_FILENO, description_.data(), description_.size());
    (void)!write(STDERR_FILENO, "\n", 1);
    Restore();
    raise(signal);
  }

  static inline std::string description_;
  static inline std::array<struct sigaction, kSignals.size()> earlier_;
};

std::string Describe(const EntryPoint& entry_point,
                     uint64_t seed,
                     std::string_view input) {
  return fmt::format("{}, seed {}, input {}", entry_point.name, seed,
                     ToHex(input));
}

// Returns the result of check(), or a description of the exception that the
// decoder threw.
std::string Check(const EntryPoint& entry_point, const std::string& input) {
  try {
    return entry_point.check(input);
  } catch (const std::exception& error) {
    return fmt::format("the decoder threw: {}", error.what());
  }
}

void FuzzAll(std::span<const EntryPoint> entry_points, uint64_t rounds) {
  CrashReport crash_report;
  for (const EntryPoint& entry_point : entry_points) {
    const std::vector<std::string> corpus = entry_point.seeds();
    DecodedValues() = 0;
    for (const std::string& input : corpus) {
      crash_report.Set(Describe(entry_point, 0, input));
      const std::string problem = Check(entry_point, input);
      cr_assert(problem.empty(), "%s: %s",
                Describe(entry_point, 0, input).c_str(), problem.c_str());
    }
    if (entry_point.accepts_seeds) {
      cr_assert_geq(DecodedValues(), static_cast<int>(corpus.size()),
                    "%s refuses one of its own seeds",
                    std::string(entry_point.name).c_str());
    }
    DecodedValues() = 0;
    for (uint64_t seed = 1; seed <= rounds; ++seed) {
      const std::string input = Mutator(seed).Mutate(corpus);
      crash_report.Set(Describe(entry_point, seed, input));
      const std::string problem = Check(entry_point, input);
      cr_assert(problem.empty(), "%s: %s",
                Describe(entry_point, seed, input).c_str(), problem.c_str());
    }
    if (entry_point.accepts_seeds) {
      cr_assert_gt(DecodedValues(), 0,
                   "%s: no mutated input was decoded to a value",
                   std::string(entry_point.name).c_str());
    }
  }
}

}  // namespace

// Guards against a reported seed that does not reproduce the failing input.
Test(fuzz, a_seed_gives_the_same_input_again) {
  const std::vector<std::string> corpus = {"abc", "0123456789"};
  std::set<std::string> inputs;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    const std::string input = Mutator(seed).Mutate(corpus);
    cr_assert(input == Mutator(seed).Mutate(corpus));
    inputs.insert(input);
  }
  cr_assert_gt(inputs.size(), 80);
}

// Guards against a frame, handshake or handover that crashes the process, is
// refused without a typed failure, or is decoded to a value that cannot be
// encoded again.
Test(fuzz, frames_give_a_value_or_a_typed_failure) {
  FuzzAll(FrameEntryPoints(), 6'000);
}

// Guards against the same faults in store objects, CSV files, settings and
// announcements.
Test(fuzz, documents_give_a_value_or_a_typed_failure) {
  FuzzAll(DocumentEntryPoints(), 2'000);
}

// Guards against the same faults in configurations of the users' platform.
Test(fuzz, platform_configurations_give_a_value_or_a_typed_failure) {
  FuzzAll(PlatformEntryPoints(), 4'000);
}

// Guards against the same faults in headers, addresses, keys and admin
// requests.
Test(fuzz, texts_give_a_value_or_a_typed_failure) {
  FuzzAll(TextEntryPoints(), 10'000);
}

}  // namespace dragonflytack
