#include "onetime/one_time_key.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "dragonflytack/base/hash.h"

namespace dragonflytack {

namespace {

constexpr size_t kMaxNodeIdBytes = 63;

bool IsHex(std::string_view text, size_t digits) {
  return text.size() == digits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

bool IsNodeId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNodeIdBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                  c == '-' || c == '.';
         });
}

// Accepts only the format that ToText() writes, so that a key has exactly one
// text.
template <typename Number>
bool ReadNumber(std::string_view text, Number* number) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), *number);
  return error == std::errc() && end == text.data() + text.size() &&
         *number > 0 && text.front() != '0';
}

// Removes and returns the part after the last dot. A node id may contain dots,
// so a key is parsed from its end.
std::string_view TakeLastPart(std::string_view* text) {
  const size_t dot = text->rfind('.');
  if (dot == std::string_view::npos) {
    return {};
  }
  const std::string_view part = text->substr(dot + 1);
  *text = text->substr(0, dot);
  return part;
}

std::string ComputeMac(std::string_view shared_key, std::string_view body) {
  return ToHex(
      HmacSha256(shared_key, body).substr(0, OneTimeKey::kMacDigits / 2));
}

}  // namespace

std::string OneTimeKey::ToText(std::string_view shared_key) const {
  std::string text =
      fmt::format("{}{}.{}.{}.{}", kPrefix, owner, incarnation, expiry_ms, id);
  const std::string mac = ComputeMac(shared_key, text);
  text += '.';
  text += mac;
  return text;
}

std::optional<OneTimeKey> OneTimeKey::Parse(std::string_view text,
                                            std::string_view shared_key,
                                            Failure* reason) {
  *reason = {FailureCode::kInvalidKey, "idempotency-key",
             "not a key of this mesh"};
  if (text.size() > kMaxTextBytes || !text.starts_with(kPrefix)) {
    return std::nullopt;
  }
  std::string_view rest = text;
  const std::string_view mac = TakeLastPart(&rest);
  const std::string_view body = rest;
  const std::string_view id = TakeLastPart(&rest);
  const std::string_view expiry = TakeLastPart(&rest);
  const std::string_view incarnation = TakeLastPart(&rest);
  OneTimeKey key;
  if (rest.size() <= kPrefix.size() || !IsHex(mac, kMacDigits) ||
      !IsHex(id, kIdDigits) || !ReadNumber(expiry, &key.expiry_ms) ||
      !ReadNumber(incarnation, &key.incarnation)) {
    return std::nullopt;
  }
  rest.remove_prefix(kPrefix.size());
  if (!IsNodeId(rest)) {
    return std::nullopt;
  }
  if (!ConstantTimeEqual(mac, ComputeMac(shared_key, body))) {
    *reason = {FailureCode::kAuthentication, "idempotency-key",
               "the authentication code does not match"};
    return std::nullopt;
  }
  key.owner = rest;
  key.id = id;
  *reason = {};
  return key;
}

}  // namespace dragonflytack
