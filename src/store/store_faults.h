#ifndef DRAGONFLYTACK_STORE_STORE_FAULTS_H_
#define DRAGONFLYTACK_STORE_STORE_FAULTS_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflytack {

// What the stand-in does instead of answering.
enum class StoreOutage {
  kOff,
  kRefuse,       // The port is closed and all connections end.
  kHang,         // Requests are read, have no effect and get no answer.
  kClose,        // Requests have no effect and their connections end.
  kUnavailable,  // Requests have no effect and are answered 503.
};

// The switches of the store stand-in. For tests and measurements only.
struct StoreFaults final {
  StoreOutage outage = StoreOutage::kOff;
  // Delay of every answer; the effect is not delayed.
  int delay_ms = 0;
  // Number of writes and deletions from now on that take effect while their
  // connection closes without an answer; -1 means all.
  int lose_answers = 0;
  // Requests a second beyond which 429 is answered; 0 means no limit. Reads are
  // reads, lists and watches, where each waiting watch counts as one call in
  // every second.
  int writes_per_s = 0;
  int reads_per_s = 0;

  // Sets a switch from its text, as in a command line or a query. Returns false
  // when there is no such switch or the value is invalid.
  bool Set(std::string_view name, const std::string& value);

  // Returns names and values of all switches.
  std::vector<std::pair<std::string, std::string>> Describe() const;

  friend bool operator==(const StoreFaults&, const StoreFaults&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_STORE_FAULTS_H_
