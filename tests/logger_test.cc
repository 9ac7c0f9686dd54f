#include "dragonflytack/base/logger.h"

#include <climits>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include "dragonflytack/base/manual_clock.h"
#include "output_pipe.h"

namespace dragonflytack {

// Guards against callers that forge a log line or corrupt the next one by
// sending control bytes, text that looks like JSON, or megabytes of text.
Test(logger, untrusted_text_stays_within_its_line) {
  const ManualClock clock;
  Logger logger(&clock, LogLevel::kInfo, "n1");
  const std::string forged =
      "x\"}\n{\"event\":\"stopped\",\"node\":\"n2\"}\r\n";
  std::string control;
  for (int i = 0; i < 100'000; ++i) {
    control += static_cast<char>(i % 32);
  }
  OutputPipe output;
  logger.Info("call_refused", {{"call", forged}});
  logger.Info("call_refused", {{"call", std::string(2'000'000, 'a')},
                               {"path", control},
                               {"host", std::string(5'000, '\xff')},
                               {"reason", control},
                               {"table", uint64_t{7}}});
  logger.Info("stopped", {});
  const std::vector<std::string> lines = output.TakeLines();
  cr_assert_eq(lines.size(), 3u, "%zu lines", lines.size());
  const char* const events[] = {"call_refused", "call_refused", "stopped"};
  for (size_t i = 0; i < lines.size(); ++i) {
    cr_expect_leq(lines[i].size() + 1, static_cast<size_t>(PIPE_BUF));
    const auto value = nlohmann::json::parse(lines[i], nullptr, false);
    cr_assert_not(value.is_discarded(), "line %zu", i);
    cr_expect(value["event"] == events[i] && value["node"] == "n1");
  }
  cr_expect(nlohmann::json::parse(lines[0])["call"] == forged);
  cr_expect(nlohmann::json::parse(lines[1])["table"] == 7);
}

// Guards against a burst of failing calls that fills the disk with log lines,
// and against suppressed lines that are not reported.
Test(logger, lines_of_an_event_are_limited_and_counted) {
  ManualClock clock;
  Logger logger(&clock, LogLevel::kInfo, "n1");
  OutputPipe output;
  for (int i = 0; i < 10'000; ++i) {
    logger.Info("call_failed", {{"call", std::to_string(i)}});
  }
  logger.Info("stopped", {});
  cr_expect_eq(output.TakeLines().size(), Logger::kMaxLinesPerSecond + 1u);
  clock.Advance(Milliseconds(1'000));
  logger.Info("call_failed", {{"call", "next"}});
  const std::vector<std::string> lines = output.TakeLines();
  cr_assert_eq(lines.size(), 1u);
  cr_expect(nlohmann::json::parse(lines[0])["suppressed"] ==
            10'000 - Logger::kMaxLinesPerSecond);
}

// Guards against a daemon that blocks because the reader of its output has
// stopped reading.
Test(logger, drops_lines_instead_of_blocking_on_a_full_pipe, .timeout = 10) {
  ManualClock clock;
  Logger logger(&clock, LogLevel::kInfo, "n1");
  OutputPipe output;
  constexpr int kSeconds = 200;
  for (int i = 0; i < kSeconds; ++i) {
    for (int j = 0; j < Logger::kMaxLinesPerSecond; ++j) {
      logger.Info("call_failed", {{"path", std::string(300, 'p')}});
    }
    clock.Advance(Milliseconds(1'000));
  }
  const size_t kept = output.TakeLines().size();
  cr_expect(kept > 0 && kept < kSeconds * Logger::kMaxLinesPerSecond);
  logger.Info("call_failed", {});
  const std::vector<std::string> lines = output.TakeLines();
  cr_assert_eq(lines.size(), 1u);
  cr_expect(nlohmann::json::parse(lines[0])["dropped"] ==
            kSeconds * Logger::kMaxLinesPerSecond - kept);
}

}  // namespace dragonflytack
