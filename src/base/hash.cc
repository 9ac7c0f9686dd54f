#include "dragonflytack/base/hash.h"

#include <cassert>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace dragonflytack {

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

std::string HmacSha256(std::string_view key, std::string_view data) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest,
       &size);
  return std::string(reinterpret_cast<const char*>(digest), size);
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string ToHex(std::string_view bytes) {
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    fmt::format_to(std::back_inserter(hex), "{:02x}",
                   static_cast<unsigned char>(byte));
  }
  return hex;
}

std::string RandomHex(int size) {
  std::string bytes(static_cast<size_t>(size), '\0');
  const int filled =
      RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), size);
  assert(filled == 1);
  (void)filled;
  return ToHex(bytes);
}

}  // namespace dragonflytack
