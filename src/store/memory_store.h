#ifndef DRAGONFLYTACK_STORE_MEMORY_STORE_H_
#define DRAGONFLYTACK_STORE_MEMORY_STORE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/store/store_object.h"

namespace dragonflytack {

// The objects of the store stand-in. For tests and measurements only; no
// production process uses it.
class MemoryStore final {
 public:
  // Returns version 0 with an empty value when there is no such object.
  StoreObject Get(const std::string& key) const;

  // Both return the new version, nothing when the object is not at
  // `if_version`. An object that does not exist cannot be deleted.
  std::optional<StoreVersion> Put(const std::string& key,
                                  std::string value,
                                  StoreVersion if_version);
  std::optional<StoreVersion> Delete(const std::string& key,
                                     StoreVersion if_version);

  // Returns the version of the last write to a key, deletions included; 0 when
  // there was none.
  StoreVersion LastWrite(const std::string& key) const;

  // Returns the objects from `start_after` on with the prefix, in the order of
  // keys, at most `limit` and at most `max_bytes` encoded, but at least one.
  // `more` says whether the bytes cut the list short.
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
