#ifndef DRAGONFLYTACK_SRC_REGISTRY_REGISTRY_H_
#define DRAGONFLYTACK_SRC_REGISTRY_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dragonflytack/registry/node_record.h"
#include "registry/bucket_digests.h"
#include "registry/registry_entry.h"
#include "registry/rollout_shares.h"
#include "registry/string_pool.h"
#include "registry/succession.h"

namespace dragonflytack {

class Clock;

// How a received record compares with the stored one.
enum class MergeOutcome { kOlder, kSame, kNewer };

// The node records that this node holds, by id. A record replaces the stored
// one of the same node only if its revision, (incarnation, sequence), is
// higher, so the result does not depend on the order of arrival.
class Registry final {
 public:
  // Nodes that left or died, and successions, are removed after this time. It
  // equals the time for which peers keep the table version of a node.
  static constexpr int64_t kRetentionMs = 24LL * 3600 * 1000;

  using Entries = std::map<std::string_view, std::unique_ptr<RegistryEntry>>;
  using Successions = std::map<std::pair<NodeId, uint64_t>, Succession>;

  explicit Registry(const Clock* clock);
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  // Stores a record unless the stored one is as new or newer. `ended_ago_ms` is
  // the time since the node left or died; a new node for which it has reached
  // the retention time is not added.
  MergeOutcome Merge(const NodeRecord& record,
                     Liveness liveness,
                     int64_t ended_ago_ms);

  // Sets the liveness of a node. Returns true if the entry has exactly this
  // revision and its liveness changed.
  bool SetLiveness(const NodeId& id,
                   uint64_t incarnation,
                   uint64_t sequence,
                   Liveness liveness);

  // Returns true if the succession was new or replaced the stored one, which
  // requires a higher (generation, successor).
  bool MergeSuccession(const Succession& succession);
  // Returns null if there is none.
  const Succession* FindSuccession(const NodeId& owner,
                                   uint64_t incarnation) const;

  // Removes entries and successions that have passed the retention time.
  void Expire();

  const RegistryEntry* Find(std::string_view id) const;
  const Entries& entries() const { return entries_; }
  const Successions& successions() const { return successions_; }
  const BucketDigests& digests() const { return digests_; }
  const Clock& clock() const { return *clock_; }
  const RolloutShares& rollout_shares() const { return rollout_shares_; }
  // Adds a share that no record carries yet.
  void MergeShare(const RolloutShare& share);

  static uint64_t HashOf(const Succession& succession);
  static uint8_t BucketOf(std::string_view id);

  // Each of the following returns the changes since its last call.

  // Services with a changed endpoint.
  std::set<std::string> TakeChangedServices();
  // Whether an address, an incarnation, a liveness or a succession changed.
  bool TakeLocationsChanged();
  // Whether the set of live nodes changed.
  bool TakeMembershipChanged();

 private:
  void Assign(RegistryEntry* entry, const NodeRecord& record);
  // Updates the end time and the hash of a changed entry and adds the hash to
  // the digests.
  void Rehash(RegistryEntry* entry, int64_t ended_ago_ms);

  const Clock* const clock_;
  StringPool pool_;
  // The keys refer to the ids in the entries.
  Entries entries_;
  Successions successions_;
  RolloutShares rollout_shares_;
  BucketDigests digests_;
  std::set<std::string> changed_services_;
  bool locations_changed_ = true;
  bool membership_changed_ = true;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_REGISTRY_REGISTRY_H_
