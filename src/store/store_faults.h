#ifndef DRAGONFLYTACK_STORE_STORE_FAULTS_H_
#define DRAGONFLYTACK_STORE_STORE_FAULTS_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflytack {

// What the store stand-in does instead of serving requests.
enum class StoreOutage {
  kOff,
  kRefuse,       // The port is closed, and so are all connections.
  kHang,         // Requests are read, have no effect and get no response.
  kClose,        // Requests have no effect and their connections are closed.
  kUnavailable,  // Requests have no effect and get status 503.
};

// The fault settings of the store stand-in. For tests and measurements only.
struct StoreFaults final {
  StoreOutage outage = StoreOutage::kOff;
  // Delay of every response. Writes take effect without delay.
  int delay_ms = 0;
  // Number of further writes and deletions that take effect but whose
  // connection is closed without a response; -1 means all.
  int lose_responses = 0;
  // Requests per second above which the status is 429; 0 means no limit. Lists
  // and watches count as reads, and each pending watch counts as one read in
  // every second.
  int writes_per_s = 0;
  int reads_per_s = 0;

  // Sets the setting `name` from text, as in a command line or a query. Returns
  // false if there is no such setting or the value is invalid.
  bool Set(std::string_view name, const std::string& value);

  // Returns the names and values of all settings.
  std::vector<std::pair<std::string, std::string>> Describe() const;

  friend bool operator==(const StoreFaults&, const StoreFaults&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_STORE_FAULTS_H_
