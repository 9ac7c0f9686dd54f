#ifndef DRAGONFLYTACK_BASE_HOST_PORT_H_
#define DRAGONFLYTACK_BASE_HOST_PORT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflytack {

// An IP address and a port. Host names are not accepted.
struct HostPort final {
  std::string address;
  uint16_t port = 0;

  // Parses "a.b.c.d:port" or "[v6]:port". Returns std::nullopt for any other
  // text and for port 0.
  static std::optional<HostPort> Parse(std::string_view text);

  std::string ToString() const;

  // NOLINTNEXTLINE(modernize-use-nullptr): false report on this operator.
  friend auto operator<=>(const HostPort&, const HostPort&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_HOST_PORT_H_
