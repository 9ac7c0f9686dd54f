#include "dragonflytack/base/logger.h"

#include <poll.h>
#include <unistd.h>
#include <climits>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dragonflytack {

namespace {

constexpr std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

// Returns an RFC 3339 time in UTC with milliseconds.
std::string FormatTime(int64_t wall_millis) {
  const std::time_t seconds = wall_millis / 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds),
                     wall_millis % 1000);
}

// Returns whether the line was taken. A pipe is ready when it takes PIPE_BUF
// bytes at once; a longer line is cut to that, which ends the line early but
// never blocks.
bool WriteIfReady(std::string_view text) {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
    return false;
  }
  const std::string_view line = text.substr(0, PIPE_BUF);
  return write(STDOUT_FILENO, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

}  // namespace

Logger::Logger(const Clock* clock, LogLevel minimum, std::string node)
    : clock_(clock), minimum_(minimum), node_(std::move(node)) {}

void Logger::Log(LogLevel level,
                 std::string_view event,
                 std::initializer_list<LogField> fields) {
  if (level < minimum_) {
    return;
  }
  const int64_t wall_millis = clock_->WallMillis();
  std::lock_guard<std::mutex> lock(mutex_);
  EventRate& rate = rates_[std::string(event)];
  if (rate.second != wall_millis / 1000) {
    rate.second = wall_millis / 1000;
    rate.written = 0;
  }
  if (rate.written >= kMaxPerSecond) {
    ++rate.suppressed;
    return;
  }
  ++rate.written;

  nlohmann::ordered_json line;
  line["time"] = FormatTime(wall_millis);
  line["level"] = LevelName(level);
  line["event"] = event;
  if (!node_.empty()) {
    line["node"] = node_;
  }
  if (rate.suppressed > 0) {
    line["suppressed"] = std::exchange(rate.suppressed, 0);
  }
  for (const auto& [name, value] : fields) {
    std::visit([&line, key = std::string(name)](
                   const auto& typed) { line[key] = typed; },
               value);
  }
  if (dropped_ > 0) {
    line["dropped"] = dropped_;
  }
  std::string text = line.dump(
      -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  text += '\n';
  if (WriteIfReady(text)) {
    dropped_ = 0;
  } else {
    ++dropped_;
  }
}

}  // namespace dragonflytack
