#ifndef TOOLS_SOAK_DRIVER_CALLER_POOL_H_
#define TOOLS_SOAK_DRIVER_CALLER_POOL_H_

#include <atomic>
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/base/system_clock.h"
#include "soak_driver/call_record.h"
#include "soak_driver/pipelined_caller.h"

struct evhttp_request;

namespace dragonflytack {

// Callers on a thread of their own. Each has a connection to one node, which it
// uses for one call after another until the connection is closed; it connects
// again at its next call. One more for each node sends several calls at once.
class CallerPool final {
 public:
  // Time after which a request counts as unanswered. It is longer than any
  // deadline of a call and any pause of a process together.
  static constexpr int kResponseTimeoutMs = 15'000;

  // With `issued_keys_only`, callers send a call without a key instead of one
  // with a key that they chose. With `accounts`, they present API keys.
  CallerPool(const std::vector<HostPort>& entries,
             int callers_per_entry,
             uint64_t seed,
             bool issued_keys_only,
             bool accounts);
  ~CallerPool();
  CallerPool(const CallerPool&) = delete;
  CallerPool& operator=(const CallerPool&) = delete;

  void Start();
  // Starts no further calls and waits for the responses to all calls.
  void Finish();

  // When the last call that did not succeed was sent, calls with a repeated key
  // excepted: these may stay unknown. May be called while the callers run.
  SoakTime last_failure_sent() const {
    return SoakTime(SoakTime::duration(last_failure_sent_.load()));
  }
  // The earliest time at which a call without a response yet was sent, or the
  // present time. May be called while the callers run.
  SoakTime oldest_unanswered() const {
    return SoakTime(SoakTime::duration(oldest_unanswered_.load()));
  }
  // May be called after Finish().
  const std::vector<CallRecord>& records() const { return records_; }

 private:
  class Caller;
  // A key that is to be presented again at another entry.
  struct RepeatedKey {
    std::string key;
    int entry;
    int presented;
  };

  // Returns whether the request `id` presented `key`.
  bool HasKey(const std::string& id, const std::string& key) const;
  void Record(const CallRecord& record);
  void Publish();

  const SystemClock clock_;
  const std::unique_ptr<EventLoop> loop_;
  Random random_;
  const bool issued_keys_only_;
  const bool accounts_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<PipelinedCaller>> pipelined_callers_;
  std::deque<RepeatedKey> repeated_keys_;
  std::unordered_map<std::string, std::string> key_of_id_;
  std::vector<CallRecord> records_;
  uint64_t next_id_ = 0;
  std::atomic<bool> finishing_{false};
  std::atomic<SoakTime::rep> last_failure_sent_{0};
  std::atomic<SoakTime::rep> oldest_unanswered_{0};
  std::thread thread_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_CALLER_POOL_H_
