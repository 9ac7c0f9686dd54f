#ifndef DRAGONFLYTACK_STORE_STORE_CLIENT_H_
#define DRAGONFLYTACK_STORE_STORE_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/store/store_object.h"

namespace dragonflytack {

// The platform's object store. Each call answers once, later, on the task that
// made it: with a value, or with nothing and the reason. Destroying the client
// drops the answers that are still due.
//
// Reasons: kConflict when a condition did not hold (nothing was written);
// kStoreRejected and kTooLarge when the store refused (nothing was written);
// kStoreUnreachable when no connection was made (nothing was written);
// kStoreTimeout when the answer was lost, so a write may or may not have taken
// effect.
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

  // Reads an object. One that does not exist is answered with version 0.
  virtual void Get(const std::string& key, ObjectCallback callback) = 0;

  // Writes an object on the condition that its version is `if_version`, where 0
  // means that it does not exist. Answers the new version.
  virtual void Put(const std::string& key,
                   const std::string& value,
                   StoreVersion if_version,
                   VersionCallback callback) = 0;

  // Deletes an object on the condition that its version is `if_version`.
  // Answers the version of the deletion.
  virtual void Delete(const std::string& key,
                      StoreVersion if_version,
                      VersionCallback callback) = 0;

  // Waits until the object's version is above `after` and answers the version
  // without the value; answers `after` itself when `timeout` has passed without
  // a change.
  virtual void Watch(const std::string& key,
                     StoreVersion after,
                     Milliseconds timeout,
                     VersionCallback callback) = 0;

  // Returns the object when an earlier answer brought it along unasked, and
  // forgets it; nothing otherwise. Saves a Get() after a Watch().
  virtual std::optional<StoreObject> TakePrefetched(
      const std::string& /*key*/) {
    return std::nullopt;
  }

  // Lists up to `limit` objects whose keys begin with `prefix` and come after
  // `start_after`, with values, in the order of keys.
  virtual void List(const std::string& prefix,
                    const std::string& start_after,
                    int limit,
                    ListCallback callback) = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_STORE_CLIENT_H_
