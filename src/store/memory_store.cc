#include "store/memory_store.h"

#include <algorithm>
#include <utility>

#include "dragonflytack/store/store_era.h"
#include "store/store_protocol.h"

namespace dragonflytack {

StoreObject MemoryStore::Get(const std::string& key) const {
  const auto found = objects_.find(key);
  return found == objects_.end() ? StoreObject{key, {}, 0} : found->second;
}

std::optional<StoreVersion> MemoryStore::Put(const std::string& key,
                                             std::string value,
                                             StoreVersion if_version) {
  if (Get(key).version != if_version) {
    return std::nullopt;
  }
  RecordChange(key);
  ++revision_;
  objects_[key] = StoreObject{key, std::move(value), revision_};
  last_writes_[key] = revision_;
  return revision_;
}

std::optional<StoreVersion> MemoryStore::Delete(const std::string& key,
                                                StoreVersion if_version) {
  const auto found = objects_.find(key);
  if (found == objects_.end() || found->second.version != if_version) {
    return std::nullopt;
  }
  RecordChange(key);
  objects_.erase(found);
  ++revision_;
  last_writes_[key] = revision_;
  return revision_;
}

void MemoryStore::RecordChange(const std::string& key) {
  const auto found = objects_.find(key);
  changes_.push_back(Change{
      key,
      found == objects_.end() ? std::nullopt : std::optional(found->second),
      LastWriteVersion(key)});
}

void MemoryStore::ReturnTo(uint64_t changes) {
  std::map<std::string, Change> oldest;
  for (uint64_t i = this->changes(); i > std::max(changes, first_change_);
       --i) {
    const Change& change = changes_[i - 1 - first_change_];
    oldest.insert_or_assign(change.key, change);
  }
  for (auto& [key, change] : oldest) {
    // The return is a change as well: a later return may go back beyond it.
    RecordChange(key);
    if (change.object) {
      objects_[key] = *std::move(change.object);
    } else {
      objects_.erase(key);
    }
    last_writes_[key] = change.last_write;
  }
  ++era_;
  revision_ = FirstVersionOf(era_) - 1;
}

void MemoryStore::ForgetChanges(uint64_t changes) {
  while (first_change_ < changes && !changes_.empty()) {
    changes_.pop_front();
    ++first_change_;
  }
}

StoreVersion MemoryStore::LastWriteVersion(const std::string& key) const {
  const auto found = last_writes_.find(key);
  return found == last_writes_.end() ? 0 : found->second;
}

std::vector<StoreObject> MemoryStore::List(const std::string& prefix,
                                           const std::string& start_after,
                                           int limit,
                                           size_t max_bytes,
                                           bool* more) const {
  *more = false;
  std::vector<StoreObject> found;
  size_t bytes = 0;
  auto next = start_after < prefix ? objects_.lower_bound(prefix)
                                   : objects_.upper_bound(start_after);
  for (; next != objects_.end() && next->first.starts_with(prefix) &&
         found.size() < static_cast<size_t>(limit);
       ++next) {
    bytes += StoreProtocol::EncodeObject(next->second).size();
    if (bytes > max_bytes && !found.empty()) {
      *more = true;
      break;
    }
    found.push_back(next->second);
  }
  return found;
}

}  // namespace dragonflytack
