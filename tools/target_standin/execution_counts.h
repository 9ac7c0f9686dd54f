#ifndef DRAGONFLYTACK_TOOLS_TARGET_STANDIN_EXECUTION_COUNTS_H_
#define DRAGONFLYTACK_TOOLS_TARGET_STANDIN_EXECUTION_COUNTS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dragonflytack {

// How often the stand-in executed calls, by idempotency key and by request id.
// The oldest names are dropped beyond kMaxNames.
class ExecutionCounts final {
 public:
  static constexpr size_t kMaxNames = 500'000;

  // Either name may be empty.
  void Record(std::string_view key, std::string_view request_id);

  uint64_t total() const { return total_; }
  // Executions of one request id, and of one key.
  int OfRequest(const std::string& request_id) const;
  int OfKey(const std::string& key) const;

  // Returns {"total", "keys", "requests", "repeated_keys",
  // "repeated_requests"}: the first three are numbers, the others map each name
  // that was executed more than once to its count.
  std::string ToJson() const;

  // Returns the number of executions by request id.
  std::string RequestsToJson() const;

 private:
  struct Names {
    void Record(std::string_view name);
    int Count(const std::string& name) const;

    std::unordered_map<std::string, int> counts;
    std::deque<std::string> order;
  };

  uint64_t total_ = 0;
  Names keys_;
  Names requests_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TOOLS_TARGET_STANDIN_EXECUTION_COUNTS_H_
