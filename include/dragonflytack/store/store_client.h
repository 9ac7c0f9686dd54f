#ifndef DRAGONFLYTACK_STORE_STORE_CLIENT_H_
#define DRAGONFLYTACK_STORE_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/store/store_object.h"

namespace dragonflytack {

// Client of the platform's object store. The callback of each call is called
// once, on a later turn of the loop and on the thread that made the call: with
// a value, or with std::nullopt and the reason. Destroying the client drops all
// pending callbacks.
//
// Reasons: kConflict if the condition was not met, kStoreRejected and kTooLarge
// if the store rejected the call, kStoreUnreachable if no connection was made;
// after all of these, nothing was written. kStoreTimeout if no valid response
// was received, so that a write may or may not have taken effect.
class StoreClient {
 public:
  using ObjectCallback =
      std::function<void(std::optional<StoreObject>, const Failure& reason)>;
  using VersionCallback =
      std::function<void(std::optional<StoreVersion>, const Failure& reason)>;
  using ListCallback =
      std::function<void(std::optional<std::vector<StoreObject>>,
                         const Failure& reason)>;

  virtual ~StoreClient() = default;

  // Reads an object. The result has version 0 if the object does not exist.
  virtual void Get(const std::string& key, ObjectCallback callback) = 0;

  // Writes an object on the condition that its version is `if_version`, where 0
  // means that it does not exist. The result is the new version.
  virtual void Put(const std::string& key,
                   const std::string& value,
                   StoreVersion if_version,
                   VersionCallback callback) = 0;

  // Deletes an object on the condition that its version is `if_version`. The
  // result is the version of the deletion.
  virtual void Delete(const std::string& key,
                      StoreVersion if_version,
                      VersionCallback callback) = 0;

  // Waits until the object's version is above `after`. The result is that
  // version without the value, or `after` itself if `timeout` passes without a
  // change.
  virtual void Watch(const std::string& key,
                     StoreVersion after,
                     Milliseconds timeout,
                     VersionCallback callback) = 0;

  // Returns and removes the object if an earlier response included it without a
  // request, or std::nullopt. Saves a Get() after a Watch().
  virtual std::optional<StoreObject> TakePrefetched(
      const std::string& /*key*/) {
    return std::nullopt;
  }

  // Lists up to `limit` objects, with values and ordered by key, whose keys
  // begin with `prefix` and are greater than `start_after`.
  virtual void List(const std::string& prefix,
                    const std::string& start_after,
                    int limit,
                    ListCallback callback) = 0;

  // The era in the last response that had one, or std::nullopt. It rises when
  // the store has come back from an older copy: writes that it had acknowledged
  // may be lost then.
  virtual std::optional<uint64_t> era() const { return std::nullopt; }

  // Whether the object "table" belongs to this system, which may then write it,
  // and has versions from which EraOf() gives the era. False if the table is
  // another system's.
  virtual bool CanWriteTable() const { return true; }
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_STORE_CLIENT_H_
