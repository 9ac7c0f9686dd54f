#ifndef DRAGONFLYTACK_SRC_REGISTRY_BUCKET_DIGESTS_H_
#define DRAGONFLYTACK_SRC_REGISTRY_BUCKET_DIGESTS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "registry/registry_digest.h"

namespace dragonflytack {

// Digests of the entry hashes in each of kBuckets buckets and of all entry
// hashes, updated as hashes are added and removed.
class BucketDigests final {
 public:
  static constexpr size_t kBuckets = 256;
  using Buckets = std::array<uint64_t, kBuckets>;

  void Add(uint8_t bucket, uint64_t hash) {
    buckets_[bucket] += hash;
    whole_.sum += hash;
    whole_.exclusive_or ^= hash;
  }
  void Remove(uint8_t bucket, uint64_t hash) {
    buckets_[bucket] -= hash;
    whole_.sum -= hash;
    whole_.exclusive_or ^= hash;
  }

  const Buckets& buckets() const { return buckets_; }
  const RegistryDigest& whole() const { return whole_; }

 private:
  Buckets buckets_{};
  RegistryDigest whole_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_REGISTRY_BUCKET_DIGESTS_H_
