#ifndef DRAGONFLYTACK_ONETIME_RECORD_ID_H_
#define DRAGONFLYTACK_ONETIME_RECORD_ID_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace dragonflytack {

// The 128-bit id of a key in binary form, which takes a quarter of the memory
// of a std::string with its digits.
struct RecordId final {
  uint64_t high = 0;
  uint64_t low = 0;

  // `digits` must be OneTimeKey::kIdDigits hexadecimal digits.
  static RecordId FromDigits(std::string_view digits);
  std::string ToDigits() const;

  friend bool operator==(const RecordId&, const RecordId&) = default;
  friend bool operator<(const RecordId& a, const RecordId& b) {
    return std::tie(a.high, a.low) < std::tie(b.high, b.low);
  }

  // Ids are random, so their bits serve as the hash.
  struct Hasher {
    size_t operator()(const RecordId& id) const { return id.low; }
  };
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_RECORD_ID_H_
