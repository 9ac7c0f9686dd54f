#ifndef DRAGONFLYTACK_TOOLS_TARGET_STANDIN_EXECUTION_COUNTS_H_
#define DRAGONFLYTACK_TOOLS_TARGET_STANDIN_EXECUTION_COUNTS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dragonflytack {

// Counts the executions of calls by idempotency key and by request id. Beyond
// kMaxNames keys or ids, the oldest ones are dropped.
class ExecutionCounts final {
 public:
  static constexpr size_t kMaxNames = 500'000;

  // Records an execution. An empty key or request id is not counted.
  void Record(std::string_view key, std::string_view request_id);

  uint64_t total() const { return total_; }
  // Return the number of executions with this request id or key.
  int CountForRequest(const std::string& request_id) const;
  int CountForKey(const std::string& key) const;

  // Returns {"total", "keys", "requests", "repeated_keys",
  // "repeated_requests"}: the first three are numbers, the others map each key
  // or request id that was executed more than once to its count.
  std::string ToJson() const;

  // Returns the number of executions by request id.
  std::string RequestsToJson() const;

 private:
  struct BoundedCounter {
    void Record(std::string_view name);
    int Count(const std::string& name) const;

    std::unordered_map<std::string, int> counts;
    std::deque<std::string> insertion_order;
  };

  uint64_t total_ = 0;
  BoundedCounter keys_;
  BoundedCounter requests_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TOOLS_TARGET_STANDIN_EXECUTION_COUNTS_H_
