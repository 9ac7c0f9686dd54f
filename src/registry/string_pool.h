#ifndef DRAGONFLYTACK_SRC_REGISTRY_STRING_POOL_H_
#define DRAGONFLYTACK_SRC_REGISTRY_STRING_POOL_H_

#include <string>
#include <string_view>
#include <unordered_set>

namespace dragonflytack {

// Keeps one copy of each text that many records repeat (regions, data centres,
// services). The pointers it returns stay valid as long as the pool.
class StringPool final {
 public:
  const std::string* Intern(std::string_view text) {
    return &*texts_.emplace(text).first;
  }

 private:
  // The elements of an unordered_set never move.
  std::unordered_set<std::string> texts_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_REGISTRY_STRING_POOL_H_
