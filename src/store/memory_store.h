#ifndef DRAGONFLYTACK_STORE_MEMORY_STORE_H_
#define DRAGONFLYTACK_STORE_MEMORY_STORE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/store/store_object.h"

namespace dragonflytack {

// The in-memory objects of the store stand-in. For tests and measurements only;
// no production process uses it.
class MemoryStore final {
 public:
  // Returns an object with version 0 and an empty value if the key does not
  // exist.
  StoreObject Get(const std::string& key) const;

  // Put() and Delete() return the new version, or std::nullopt if the object is
  // not at version `if_version`. An object that does not exist cannot be
  // deleted.
  std::optional<StoreVersion> Put(const std::string& key,
                                  std::string value,
                                  StoreVersion if_version);
  std::optional<StoreVersion> Delete(const std::string& key,
                                     StoreVersion if_version);

  // Returns the version of the last write to or deletion of a key, or 0 if
  // there was none.
  StoreVersion LastWriteVersion(const std::string& key) const;

  // Returns the objects whose keys begin with `prefix` and are greater than
  // `start_after`, ordered by key: at most `limit` objects and at most
  // `max_bytes` when encoded, but at least one if there is any. Sets `more` if
  // `max_bytes` truncated the list.
  std::vector<StoreObject> List(const std::string& prefix,
                                const std::string& start_after,
                                int limit,
                                size_t max_bytes,
                                bool* more) const;

  StoreVersion revision() const { return revision_; }

 private:
  std::map<std::string, StoreObject> objects_;
  std::map<std::string, StoreVersion> last_writes_;
  StoreVersion revision_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_MEMORY_STORE_H_
