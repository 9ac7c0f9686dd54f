#ifndef DRAGONFLYTACK_STORE_MEMORY_STORE_H_
#define DRAGONFLYTACK_STORE_MEMORY_STORE_H_

#include <cstdint>
#include <deque>
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

  // Number of changes of objects so far, which identifies a state for
  // ReturnTo().
  uint64_t changes() const { return first_change_ + changes_.size(); }
  // Restores the objects as they were after the first `changes` changes and
  // begins the next era. Objects keep their versions; the next write gets the
  // first number of the new era. A state that ForgetChanges() has dropped is
  // replaced by the oldest one that is left.
  void ReturnTo(uint64_t changes);
  // Drops what ReturnTo() needs for states before `changes` changes.
  void ForgetChanges(uint64_t changes);

  StoreVersion revision() const { return revision_; }
  uint64_t era() const { return era_; }

 private:
  // What a change has replaced.
  struct Change {
    std::string key;
    std::optional<StoreObject> object;
    StoreVersion last_write = 0;
  };

  // Records what the next change of the key replaces.
  void RecordChange(const std::string& key);

  std::map<std::string, StoreObject> objects_;
  std::map<std::string, StoreVersion> last_writes_;
  StoreVersion revision_ = 0;
  uint64_t era_ = 0;
  std::deque<Change> changes_;
  // Number of changes that ForgetChanges() has dropped.
  uint64_t first_change_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_MEMORY_STORE_H_
