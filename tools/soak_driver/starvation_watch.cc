#include "soak_driver/starvation_watch.h"

#include <filesystem>
#include <fstream>
#include <system_error>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

// Shorter waits are normal and would only fill the memory.
constexpr double kMinSeconds = 0.01;
constexpr double kNanosecond = 1e-9;
constexpr double kMicrosecond = 1e-6;
constexpr pid_t kMemoryCounter = -1;
constexpr pid_t kDiskCounter = -2;

// Returns the threads of a process with the seconds that each has waited;
// empty for a process that has exited.
std::map<pid_t, double> ReadCounters(pid_t process) {
  std::map<pid_t, double> counters;
  std::error_code error;
  std::filesystem::directory_iterator thread(
      fmt::format("/proc/{}/task", process), error);
  for (; !error && thread != std::filesystem::directory_iterator();
       thread.increment(error)) {
    // Time on a processor, then time waiting for one, in nanoseconds.
    std::ifstream file(thread->path() / "schedstat");
    double ran = 0;
    double waited = 0;
    if (file >> ran >> waited) {
      counters[std::stoi(thread->path().filename())] = waited * kNanosecond;
    }
  }
  return counters;
}

// Returns the seconds in which no process got on for lack of `resource`; 0 if
// the kernel does not count them.
double ReadFullStall(const char* resource) {
  std::ifstream file(fmt::format("/proc/pressure/{}", resource));
  constexpr char kTotal[] = "total=";
  std::string line;
  while (std::getline(file, line)) {
    const size_t total = line.find(kTotal);
    if (line.starts_with("full") && total != std::string::npos) {
      return std::stod(line.substr(total + sizeof kTotal - 1)) * kMicrosecond;
    }
  }
  return 0;
}

}  // namespace

void StarvationWatch::Sample(
    const std::vector<std::pair<std::string, pid_t>>& processes) {
  const SoakTime now = std::chrono::steady_clock::now();
  std::map<pid_t, double> counters;
  for (const auto& [name, process] : processes) {
    for (const auto& [thread, waited] : ReadCounters(process)) {
      SampleCounter(name + " waited for a processor", thread, waited, now,
                    &counters);
    }
  }
  SampleCounter("the machine waited for memory", kMemoryCounter,
                ReadFullStall("memory"), now, &counters);
  SampleCounter("the machine waited for its disk", kDiskCounter,
                ReadFullStall("io"), now, &counters);
  counters_ = std::move(counters);
  last_sample_ = now;
}

void StarvationWatch::SampleCounter(const std::string& cause,
                                    pid_t counter,
                                    double waited,
                                    SoakTime now,
                                    std::map<pid_t, double>* counters) {
  (*counters)[counter] = waited;
  const auto last = counters_.find(counter);
  // The counter of a new thread began at 0 after the last sample.
  const double since = last == counters_.end() ? 0 : last->second;
  if (last_sample_ && waited - since >= kMinSeconds) {
    waits_.push_back({cause, counter, *last_sample_, now, waited - since});
  }
}

StarvationWatch::Wait StarvationWatch::LongestWait(SoakTime from,
                                                   SoakTime to) const {
  std::map<pid_t, Wait> sums;
  Wait longest;
  for (const Sampled& sampled : waits_) {
    if (sampled.to > from && sampled.from < to) {
      Wait& sum = sums[sampled.counter];
      sum.cause = sampled.cause;
      sum.seconds += sampled.seconds;
      if (sum.seconds > longest.seconds) {
        longest = sum;
      }
    }
  }
  return longest;
}

}  // namespace dragonflytack
