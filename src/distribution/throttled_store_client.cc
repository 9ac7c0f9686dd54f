#include "distribution/throttled_store_client.h"

#include <utility>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

ThrottledStoreClient::ThrottledStoreClient(StoreClient* client,
                                           const Clock* clock)
    : client_(client), clock_(clock) {}

bool ThrottledStoreClient::Get(const std::string& key,
                               StoreClient::ObjectCallback callback) {
  if (!AcquireCall()) {
    return false;
  }
  client_->Get(
      key, [this, alive = std::weak_ptr<bool>(alive_),
            callback = std::move(callback)](std::optional<StoreObject> object,
                                            const Failure& reason) {
        if (!alive.expired()) {
          RecordStoreContact(reason);
          callback(std::move(object), reason);
        }
      });
  return true;
}

bool ThrottledStoreClient::Put(const std::string& key,
                               const std::string& value,
                               StoreVersion if_version,
                               StoreClient::VersionCallback callback) {
  if (!AcquireCall()) {
    return false;
  }
  client_->Put(key, value, if_version,
               [this, alive = std::weak_ptr<bool>(alive_),
                callback = std::move(callback)](
                   std::optional<StoreVersion> version, const Failure& reason) {
                 if (!alive.expired()) {
                   RecordStoreContact(reason);
                   callback(version, reason);
                 }
               });
  return true;
}

bool ThrottledStoreClient::Watch(const std::string& key,
                                 StoreVersion after,
                                 Milliseconds timeout,
                                 StoreClient::VersionCallback callback) {
  if (!AcquireCall()) {
    return false;
  }
  client_->Watch(
      key, after, timeout,
      [this, alive = std::weak_ptr<bool>(alive_),
       callback = std::move(callback)](std::optional<StoreVersion> version,
                                       const Failure& reason) {
        if (!alive.expired()) {
          RecordStoreContact(reason);
          callback(version, reason);
        }
      });
  return true;
}

bool ThrottledStoreClient::AcquireCall() {
  if (!budget_.TryAcquire(clock_->Now())) {
    return false;
  }
  ++calls_;
  return true;
}

void ThrottledStoreClient::RecordStoreContact(const Failure& reason) {
  if (reason.code != FailureCode::kStoreUnreachable &&
      reason.code != FailureCode::kStoreTimeout) {
    last_contact_ms_ = clock_->WallMillis();
  }
}

}  // namespace dragonflytack
