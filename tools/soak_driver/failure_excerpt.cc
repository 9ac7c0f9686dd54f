#include "soak_driver/failure_excerpt.h"

#include <chrono>
#include <deque>
#include <fstream>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace dragonflytack {

namespace {

constexpr size_t kMaxLines = 12;
constexpr size_t kMaxLineBytes = 200;
// A stop lasts up to the drain timeout of 5 s, and its first line shows what
// was in progress.
constexpr std::chrono::milliseconds kBefore{6000};
constexpr std::chrono::milliseconds kAfter{500};
constexpr char kTimeField[] = R"("time":")";
constexpr size_t kTimeBytes = sizeof "2000-01-01T00:00:00.000Z" - 1;

// Returns `time` as the daemons write it, so that texts compare as times do.
std::string FormatTime(SoakTime time) {
  const auto since_epoch = (std::chrono::system_clock::now() +
                            (time - std::chrono::steady_clock::now()))
                               .time_since_epoch();
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count();
  const std::time_t seconds = milliseconds / 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds),
                     milliseconds % 1000);
}

// Returns whether a line is about links and peers. These are many whenever
// other nodes stop.
bool IsAboutPeers(const std::string& line) {
  constexpr const char* kEvents[] = {R"("event":"link_)", R"("event":"node_)",
                                     R"("event":"connection_)"};
  for (const char* event : kEvents) {
    if (line.find(event) != std::string::npos) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::vector<std::string> ReadDaemonLines(const SoakFailure& failure,
                                         const std::string& work_dir) {
  if (!failure.node) {
    return {};
  }
  const std::string first = FormatTime(failure.at - kBefore);
  const std::string last = FormatTime(failure.at + kAfter);
  std::ifstream file(fmt::format("{}/n{:04}.log", work_dir, *failure.node));
  std::deque<std::string> lines;
  std::string line;
  while (std::getline(file, line)) {
    const size_t field = line.find(kTimeField);
    if (field == std::string::npos || IsAboutPeers(line)) {
      continue;
    }
    const std::string time =
        line.substr(field + sizeof kTimeField - 1, kTimeBytes);
    if (time < first || time > last) {
      continue;
    }
    lines.push_back(line.substr(0, kMaxLineBytes));
    if (lines.size() > kMaxLines) {
      lines.pop_front();
    }
  }
  return {lines.begin(), lines.end()};
}

}  // namespace dragonflytack
