#include "dragonflytack/base/logger.h"

#include <poll.h>
#include <unistd.h>
#include <climits>
#include <string>
#include <type_traits>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dragonflytack {

namespace {

// Limits of a text field in bytes. The second one applies if the line would
// otherwise exceed PIPE_BUF (4,096 on Linux), the largest write to a pipe that
// is atomic: a line with 16 fields of 24 bytes fits even if each byte takes 6
// when escaped.
constexpr size_t kMaxFieldBytes[] = {512, 24};

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
std::string FormatTime(int64_t wall_ms) {
  const std::time_t seconds = wall_ms / 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds),
                     wall_ms % 1000);
}

// Returns `text`, or its first `max_bytes` bytes and its length if it is
// longer.
std::string Truncate(const std::string& text, size_t max_bytes) {
  return text.size() <= max_bytes
             ? text
             : fmt::format("{}... ({} bytes)", text.substr(0, max_bytes),
                           text.size());
}

std::string Serialize(const nlohmann::ordered_json& line) {
  return line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace) +
         "\n";
}

// Returns whether the line was written. A pipe is reported as writable if it
// can take PIPE_BUF bytes at once; a longer write could block or be partial.
bool WriteIfReady(std::string_view line) {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  if (line.size() > PIPE_BUF || poll(&output, 1, 0) != 1 ||
      (output.revents & POLLOUT) == 0) {
    return false;
  }
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
  const int64_t wall_ms = clock_->WallMillis();
  std::lock_guard<std::mutex> lock(mutex_);
  EventRate& rate = rates_[std::string(event)];
  if (rate.second != wall_ms / 1000) {
    rate.second = wall_ms / 1000;
    rate.written = 0;
  }
  if (rate.written >= kMaxLinesPerSecond) {
    ++rate.suppressed;
    return;
  }
  ++rate.written;

  nlohmann::ordered_json line;
  line["time"] = FormatTime(wall_ms);
  line["level"] = LevelName(level);
  line["event"] = event;
  if (!node_.empty()) {
    line["node"] = node_;
  }
  if (rate.suppressed > 0) {
    line["suppressed"] = std::exchange(rate.suppressed, 0);
  }
  if (dropped_ > 0) {
    line["dropped"] = dropped_;
  }
  std::string text;
  for (const size_t max_bytes : kMaxFieldBytes) {
    nlohmann::ordered_json complete_line = line;
    for (const auto& [name, value] : fields) {
      std::visit(
          [&complete_line, max_bytes,
           key = std::string(name)](const auto& typed) {
            if constexpr (std::is_same_v<decltype(typed), const std::string&>) {
              complete_line[key] = Truncate(typed, max_bytes);
            } else {
              complete_line[key] = typed;
            }
          },
          value);
    }
    text = Serialize(complete_line);
    if (text.size() <= PIPE_BUF) {
      break;
    }
  }
  if (WriteIfReady(text)) {
    dropped_ = 0;
  } else {
    ++dropped_;
  }
}

}  // namespace dragonflytack
