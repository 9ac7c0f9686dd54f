#ifndef DRAGONFLYTACK_BASE_LOGGER_H_
#define DRAGONFLYTACK_BASE_LOGGER_H_

#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

using LogValue = std::variant<std::string, int64_t, uint64_t, double, bool>;
using LogField = std::pair<std::string_view, LogValue>;

// Writes one JSON object per line to standard output: "time", "level", "event"
// and the typed fields. Writes at most kMaxLinesPerSecond lines of one event
// per second; the next line of that event in a later second has the number of
// suppressed lines in "suppressed". If the output cannot take a line
// immediately, the line is dropped instead of blocking the caller; the next
// line has the number of dropped lines in "dropped". Safe to use from every
// thread.
class Logger final {
 public:
  static constexpr int kMaxLinesPerSecond = 20;

  // `clock` must outlive the logger. `node` is added to every line unless it is
  // empty.
  Logger(const Clock* clock, LogLevel minimum, std::string node);
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  void set_minimum(LogLevel minimum) { minimum_ = minimum; }

  void Log(LogLevel level,
           std::string_view event,
           std::initializer_list<LogField> fields = {});

  void Info(std::string_view event,
            std::initializer_list<LogField> fields = {}) {
    Log(LogLevel::kInfo, event, fields);
  }
  void Warning(std::string_view event,
               std::initializer_list<LogField> fields = {}) {
    Log(LogLevel::kWarning, event, fields);
  }
  void Error(std::string_view event,
             std::initializer_list<LogField> fields = {}) {
    Log(LogLevel::kError, event, fields);
  }

 private:
  struct EventRate {
    int64_t second = 0;
    int written = 0;
    uint64_t suppressed = 0;
  };

  const Clock* const clock_;
  std::atomic<LogLevel> minimum_;
  const std::string node_;
  std::mutex mutex_;
  std::map<std::string, EventRate, std::less<>> rates_;
  uint64_t dropped_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_LOGGER_H_
