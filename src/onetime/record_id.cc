#include "onetime/record_id.h"

#include <cassert>
#include <charconv>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

constexpr size_t kHalfDigits = 16;
constexpr int kHexBase = 16;

uint64_t ReadHalf(std::string_view digits) {
  uint64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value,
                  kHexBase);
  return value;
}

}  // namespace

RecordId RecordId::FromDigits(std::string_view digits) {
  assert(digits.size() == 2 * kHalfDigits);
  return {ReadHalf(digits.substr(0, kHalfDigits)),
          ReadHalf(digits.substr(kHalfDigits))};
}

std::string RecordId::ToDigits() const {
  return fmt::format("{:016x}{:016x}", high, low);
}

}  // namespace dragonflytack
