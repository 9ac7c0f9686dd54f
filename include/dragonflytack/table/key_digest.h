#ifndef DRAGONFLYTACK_TABLE_KEY_DIGEST_H_
#define DRAGONFLYTACK_TABLE_KEY_DIGEST_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflytack {

// Digest of an API key of a client account: the first 16 bytes of its SHA-256.
// The table, the links and the logs contain digests only, so that none of them
// discloses a key. Keys are random texts, which cannot be found from a digest.
class KeyDigest final {
 public:
  static constexpr size_t kBytes = 16;
  // Limit of the keys that OfKey() accepts.
  static constexpr size_t kMaxKeyBytes = 512;

  using Bytes = std::array<uint8_t, kBytes>;

  // Returns std::nullopt if the key is empty or longer than kMaxKeyBytes.
  static std::optional<KeyDigest> OfKey(std::string_view key);

  // Parses the form of ToText(). Returns std::nullopt if it is malformed.
  static std::optional<KeyDigest> Parse(std::string_view text);

  static KeyDigest FromBytes(const Bytes& bytes) { return KeyDigest(bytes); }

  // Returns 32 lower-case hexadecimal digits.
  std::string ToText() const;

  const Bytes& bytes() const { return bytes_; }

  // Compares in constant time, so that the time does not disclose how many
  // bytes of a digest a caller has guessed.
  friend bool operator==(const KeyDigest& a, const KeyDigest& b);
  friend std::strong_ordering operator<=>(const KeyDigest& a,
                                          const KeyDigest& b) {
    return a.bytes_ <=> b.bytes_;
  }

 private:
  explicit KeyDigest(const Bytes& bytes) : bytes_(bytes) {}

  Bytes bytes_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_KEY_DIGEST_H_
