#ifndef DRAGONFLYTACK_SRC_REGISTRY_STRING_POOL_H_
#define DRAGONFLYTACK_SRC_REGISTRY_STRING_POOL_H_

#include <string>
#include <string_view>
#include <unordered_set>

namespace dragonflytack {

// Keeps one copy of each string that many records share (regions, data centres,
// services). The returned pointers are valid for the lifetime of the pool.
class StringPool final {
 public:
  const std::string* Intern(std::string_view text) {
    return &*texts_.emplace(text).first;
  }

 private:
  // Rehashing an unordered_set does not move its elements.
  std::unordered_set<std::string> texts_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_REGISTRY_STRING_POOL_H_
