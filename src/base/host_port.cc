#include "dragonflytack/base/host_port.h"

#include <charconv>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace dragonflytack {

namespace {

// Rejects text with a NUL, because inet_pton() reads only the part before it.
bool IsIpAddress(const std::string& address, int family) {
  unsigned char bytes[sizeof(in6_addr)];
  return address.find('\0') == std::string::npos &&
         inet_pton(family, address.c_str(), bytes) == 1;
}

std::optional<uint16_t> ParsePort(std::string_view text) {
  uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc() || end != text.data() + text.size() || port == 0) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

std::optional<HostPort> HostPort::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const std::optional<uint16_t> port = ParsePort(text.substr(colon + 1));
  if (!port) {
    return std::nullopt;
  }
  int family = AF_INET;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    family = AF_INET6;
  }
  if (!IsIpAddress(std::string(host), family)) {
    return std::nullopt;
  }
  return HostPort{std::string(host), *port};
}

std::string HostPort::ToString() const {
  if (address.find(':') != std::string::npos) {
    return fmt::format("[{}]:{}", address, port);
  }
  return fmt::format("{}:{}", address, port);
}

}  // namespace dragonflytack
