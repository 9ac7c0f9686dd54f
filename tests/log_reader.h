#ifndef DRAGONFLYTACK_TESTS_LOG_READER_H_
#define DRAGONFLYTACK_TESTS_LOG_READER_H_

#include <algorithm>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include "dragonflytack/base/clock.h"
#include "output_pipe.h"

namespace dragonflytack {

// Collects the log of the process while it exists.
class LogReader final {
 public:
  // Returns the lines of `event` that have been written so far.
  std::vector<nlohmann::json> Find(const std::string& event) {
    for (const std::string& text : output_.TakeLines()) {
      lines_.push_back(nlohmann::json::parse(text));
    }
    std::vector<nlohmann::json> found;
    std::copy_if(lines_.begin(), lines_.end(), std::back_inserter(found),
                 [&event](const auto& line) { return line["event"] == event; });
    return found;
  }

  // Waits until `count` lines of `event` have been written, and returns the
  // last one.
  nlohmann::json WaitFor(const std::string& event, size_t count = 1) {
    for (int i = 0; i < 2500; ++i) {
      const std::vector<nlohmann::json> found = Find(event);
      if (found.size() >= count) {
        return found.back();
      }
      std::this_thread::sleep_for(Milliseconds(2));
    }
    cr_assert_fail("no line %s", event.c_str());
    return {};
  }

 private:
  OutputPipe output_;
  std::vector<nlohmann::json> lines_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_LOG_READER_H_
