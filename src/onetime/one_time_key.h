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

// A key handed out by the mesh. It names the process that answers for the
// action (home and incarnation). Its text is
// "dt1.<home>.<incarnation>.<expiry ms>.<id>.<code>".
struct OneTimeKey final {
  // Texts with this prefix are never taken as keys invented by a caller.
  static constexpr std::string_view kPrefix = "dt1.";
  static constexpr size_t kMaxTextBytes = 180;
  static constexpr size_t kIdDigits = 32;
  // HMAC-SHA256 cut to 128 bits, which RFC 2104 allows.
  static constexpr size_t kCodeDigits = 32;

  NodeId owner;
  uint64_t incarnation = 0;
  // By the home's clock, see RecordSet.
  int64_t expiry_ms = 0;
  // kIdDigits lower-case hexadecimal digits.
  std::string id;

  // Returns the text with the authentication code under `secret`.
  std::string ToText(std::string_view secret) const;

  // Reads a text. Returns nothing with kInvalidKey when no node could have
  // issued it, and with kAuthentication when it is well formed but its code is
  // not the one under `secret`; a node with another secret may have accepted
  // such a key.
  static std::optional<OneTimeKey> Parse(std::string_view text,
                                         std::string_view secret,
                                         Failure* reason);

  friend auto operator<=>(const OneTimeKey&, const OneTimeKey&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_ONE_TIME_KEY_H_
