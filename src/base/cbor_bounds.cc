#include "base/cbor_bounds.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace dragonflytack {

namespace {

enum MajorType : uint8_t {
  kByteString = 2,
  kTextString = 3,
  kArray = 4,
  kMap = 5,
  kTag = 6,
};

struct Head {
  uint8_t major = 0;
  // A number, a size in bytes or a count of elements, depending on the major
  // type.
  uint64_t argument = 0;
};

// Removes the head of an item (RFC 8949 section 3). Returns std::nullopt if the
// head is truncated, is reserved or starts an item of indefinite length.
std::optional<Head> TakeHead(std::string_view* bytes) {
  constexpr int kMajorShift = 5;
  constexpr uint8_t kInfoMask = 0x1f;
  constexpr uint8_t kFirstLongInfo = 24;
  constexpr uint8_t kLastLongInfo = 27;
  if (bytes->empty()) {
    return std::nullopt;
  }
  const auto first = static_cast<uint8_t>(bytes->front());
  bytes->remove_prefix(1);
  const uint8_t info = first & kInfoMask;
  Head head{static_cast<uint8_t>(first >> kMajorShift), info};
  if (info < kFirstLongInfo) {
    return head;
  }
  const size_t size = size_t{1} << (info - kFirstLongInfo);
  if (info > kLastLongInfo || bytes->size() < size) {
    return std::nullopt;
  }
  head.argument = 0;
  for (size_t i = 0; i < size; ++i) {
    head.argument = head.argument << 8 | static_cast<uint8_t>((*bytes)[i]);
  }
  bytes->remove_prefix(size);
  return head;
}

}  // namespace

bool IsBoundedCbor(std::string_view bytes, int max_depth) {
  // Number of items still expected in each open container, outermost first.
  std::vector<uint64_t> remaining_items;
  do {
    const std::optional<Head> head = TakeHead(&bytes);
    if (!head || head->major == kTag) {
      return false;
    }
    const bool is_container = head->major == kArray || head->major == kMap;
    const bool is_string =
        head->major == kByteString || head->major == kTextString;
    // Each element takes at least one byte.
    if ((is_container || is_string) && head->argument > bytes.size()) {
      return false;
    }
    if (is_string) {
      bytes.remove_prefix(head->argument);
    }
    if (is_container) {
      if (remaining_items.size() >= static_cast<size_t>(max_depth)) {
        return false;
      }
      if (head->argument > 0) {
        remaining_items.push_back(head->major == kMap ? 2 * head->argument
                                                      : head->argument);
        continue;
      }
    }
    while (!remaining_items.empty() && --remaining_items.back() == 0) {
      remaining_items.pop_back();
    }
  } while (!remaining_items.empty());
  return bytes.empty();
}

}  // namespace dragonflytack
