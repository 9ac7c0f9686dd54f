#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_THROTTLED_STORE_CLIENT_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_THROTTLED_STORE_CLIENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "distribution/store_call_budget.h"
#include "dragonflytack/store/store_client.h"

namespace dragonflytack {

class Clock;

// Makes the calls of the distribution core to the store and limits their rate.
// Responses that arrive after its destruction are dropped.
class ThrottledStoreClient final {
 public:
  ThrottledStoreClient(StoreClient* client, const Clock* clock);
  ThrottledStoreClient(const ThrottledStoreClient&) = delete;
  ThrottledStoreClient& operator=(const ThrottledStoreClient&) = delete;

  // Each returns false if the call budget is exhausted; no call is made then,
  // and the callback is not run.
  bool Get(const std::string& key, StoreClient::ObjectCallback callback);
  bool Put(const std::string& key,
           const std::string& value,
           StoreVersion if_version,
           StoreClient::VersionCallback callback);
  bool Watch(const std::string& key,
             StoreVersion after,
             Milliseconds timeout,
             StoreClient::VersionCallback callback);

  std::optional<StoreObject> TakePrefetched(const std::string& key) {
    return client_->TakePrefetched(key);
  }
  std::optional<uint64_t> era() const { return client_->era(); }
  bool CanWriteTable() const { return client_->CanWriteTable(); }

  uint64_t calls() const { return calls_; }
  // Wall time in milliseconds of the last response, 0 if there was none.
  int64_t last_contact_ms() const { return last_contact_ms_; }

 private:
  bool AcquireCall();
  void RecordStoreContact(const Failure& reason);

  StoreClient* const client_;
  const Clock* const clock_;
  StoreCallBudget budget_;
  uint64_t calls_ = 0;
  int64_t last_contact_ms_ = 0;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_THROTTLED_STORE_CLIENT_H_
