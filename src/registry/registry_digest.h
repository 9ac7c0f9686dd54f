#ifndef DRAGONFLYTACK_SRC_REGISTRY_REGISTRY_DIGEST_H_
#define DRAGONFLYTACK_SRC_REGISTRY_REGISTRY_DIGEST_H_

#include <cstdint>

namespace dragonflytack {

// 16-byte digest of a registry: the sum and the exclusive or of the hashes of
// all entries. Equal registries have equal digests.
struct RegistryDigest final {
  uint64_t sum = 0;
  uint64_t exclusive_or = 0;

  friend bool operator==(const RegistryDigest&,
                         const RegistryDigest&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_REGISTRY_REGISTRY_DIGEST_H_
