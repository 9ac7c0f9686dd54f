#include "dragonflytack/table/key_digest.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace dragonflytack {

std::optional<KeyDigest> KeyDigest::OfKey(std::string_view key) {
  if (key.empty() || key.size() > kMaxKeyBytes) {
    return std::nullopt;
  }
  std::array<uint8_t, SHA256_DIGEST_LENGTH> hash;
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         hash.data());
  Bytes bytes;
  std::copy_n(hash.begin(), kBytes, bytes.begin());
  return KeyDigest(bytes);
}

std::optional<KeyDigest> KeyDigest::Parse(std::string_view text) {
  constexpr int kHexadecimal = 16;
  if (text.size() != 2 * kBytes ||
      text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
    return std::nullopt;
  }
  Bytes bytes;
  for (size_t i = 0; i < kBytes; ++i) {
    const char* const at = text.data() + 2 * i;
    std::from_chars(at, at + 2, bytes[i], kHexadecimal);
  }
  return KeyDigest(bytes);
}

std::string KeyDigest::ToText() const {
  return fmt::format("{:02x}", fmt::join(bytes_, ""));
}

bool operator==(const KeyDigest& a, const KeyDigest& b) {
  return CRYPTO_memcmp(a.bytes_.data(), b.bytes_.data(), KeyDigest::kBytes) ==
         0;
}

}  // namespace dragonflytack
