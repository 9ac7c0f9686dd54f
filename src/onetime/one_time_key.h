#ifndef DRAGONFLYTACK_ONETIME_ONE_TIME_KEY_H_
#define DRAGONFLYTACK_ONETIME_ONE_TIME_KEY_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

// A key issued by the mesh. It identifies the process that issued it and keeps
// its record (owner and incarnation). Its text is
// "dt1.<owner>.<incarnation>.<expiry ms>.<id>.<authentication code>".
struct OneTimeKey final {
  // Texts with this prefix are never accepted as keys chosen by a caller.
  static constexpr std::string_view kPrefix = "dt1.";
  static constexpr size_t kMaxTextBytes = 180;
  static constexpr size_t kIdDigits = 32;
  // HMAC-SHA256 truncated to 128 bits, which RFC 2104 allows.
  static constexpr size_t kMacDigits = 32;

  NodeId owner;
  uint64_t incarnation = 0;
  // Time on the owner's clock, see RecordSet.
  int64_t expiry_ms = 0;
  // kIdDigits lower-case hexadecimal digits.
  std::string id;

  // Returns the text with the authentication code under `shared_key`.
  std::string ToText(std::string_view shared_key) const;

  // Parses a text. Returns std::nullopt and sets `reason` to kInvalidKey if no
  // node can have issued it, or to kAuthentication if it is well formed but its
  // authentication code does not match `shared_key`; a node with another shared
  // key may have accepted such a key.
  static std::optional<OneTimeKey> Parse(std::string_view text,
                                         std::string_view shared_key,
                                         Failure* reason);

  friend auto operator<=>(const OneTimeKey&, const OneTimeKey&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_ONE_TIME_KEY_H_
