#ifndef DRAGONFLYTACK_BASE_HASH_H_
#define DRAGONFLYTACK_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflytack {

// Returns the 64-bit xxHash of `data`. It is the same on every node, so that
// nodes compute equal ranks and digests.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// Returns the 32 raw bytes of HMAC-SHA256 of `data` under `key`.
std::string HmacSha256(std::string_view key, std::string_view data);

// Compares in a time that depends only on the lengths, so that the time of a
// comparison of authentication codes reveals nothing about their contents.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

// Returns `size` bytes from the operating system's random generator, as
// lower-case hexadecimal text of twice that length, for ids and keys.
std::string RandomHex(int size);

// Returns `bytes` as lower-case hexadecimal text.
std::string ToHex(std::string_view bytes);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_HASH_H_
