#include "store/store_protocol.h"

#include <charconv>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

// Parses the number before the first `end` and removes both from `text`.
// Returns std::nullopt if there is no `end` or no valid number.
std::optional<uint64_t> ReadNumberUntil(std::string_view* text, char end) {
  const size_t size = text->find(end);
  if (size == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<uint64_t> number =
      StoreProtocol::ParseVersion(text->substr(0, size));
  text->remove_prefix(size + 1);
  return number;
}

}  // namespace

bool StoreProtocol::IsKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyBytes &&
         key.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyz"
             "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/") ==
             std::string_view::npos;
}

std::optional<StoreVersion> StoreProtocol::ParseVersion(std::string_view text) {
  StoreVersion version = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), version);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return version;
}

std::string StoreProtocol::EncodeObject(const StoreObject& object) {
  return fmt::format("{} {} {}\n{}{}\n", object.version, object.key.size(),
                     object.value.size(), object.key, object.value);
}

std::optional<std::vector<StoreObject>> StoreProtocol::DecodeObjects(
    std::string_view body) {
  std::vector<StoreObject> objects;
  while (!body.empty()) {
    const std::optional<uint64_t> version = ReadNumberUntil(&body, ' ');
    const std::optional<uint64_t> key_size = ReadNumberUntil(&body, ' ');
    const std::optional<uint64_t> value_size = ReadNumberUntil(&body, '\n');
    if (!version || !key_size || !value_size || *key_size > kMaxKeyBytes ||
        *value_size > kMaxValueBytes ||
        body.size() < *key_size + *value_size + 1 ||
        body[*key_size + *value_size] != '\n') {
      return std::nullopt;
    }
    objects.push_back(StoreObject{
        std::string(body.substr(0, *key_size)),
        std::string(body.substr(*key_size, *value_size)), *version});
    body.remove_prefix(*key_size + *value_size + 1);
  }
  return objects;
}

}  // namespace dragonflytack
