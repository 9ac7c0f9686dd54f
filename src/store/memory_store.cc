#include "store/memory_store.h"

#include <utility>

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
  objects_.erase(found);
  ++revision_;
  last_writes_[key] = revision_;
  return revision_;
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
