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
#include "registry/string_pool.h"
#include "registry/succession.h"

namespace dragonflytack {

class Clock;

// How a record that arrived compares with the one that is kept.
enum class MergeOutcome { kOlder, kSame, kNewer };

// All node records that this node knows, by id. A record replaces another one
// of the same node only when its (incarnation, sequence) is higher, so the
// order of arrival does not matter.
class Registry final {
 public:
  // Nodes that left or died, and successions, are forgotten after this time. It
  // is as long as peers remember the version of a node.
  static constexpr int64_t kRetentionMs = 24LL * 3600 * 1000;

  using Entries = std::map<std::string_view, std::unique_ptr<RegistryEntry>>;
  using Successions = std::map<std::pair<NodeId, uint64_t>, Succession>;

  explicit Registry(const Clock* clock);
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  // Takes over a record unless the kept one is as new. `ended_ago_ms` is the
  // time since the node left or died. A record that ended before the retention
  // time is not taken.
  MergeOutcome Merge(const NodeRecord& record,
                     Liveness liveness,
                     int64_t ended_ago_ms);

  // Changes what is believed of a node. Returns whether the entry has exactly
  // this age and was changed.
  bool SetLiveness(const NodeId& id,
                   uint64_t incarnation,
                   uint64_t sequence,
                   Liveness liveness);

  // Returns whether the succession was new or of a later generation.
  bool MergeSuccession(const Succession& succession);
  // Returns null when none is known.
  const Succession* FindSuccession(const NodeId& owner,
                                   uint64_t incarnation) const;

  // Forgets what has passed the retention time.
  void Expire();

  const RegistryEntry* Find(std::string_view id) const;
  const Entries& entries() const { return entries_; }
  const Successions& successions() const { return successions_; }
  const BucketDigests& digests() const { return digests_; }

  static uint64_t HashOf(const Succession& succession);
  static uint8_t BucketOf(std::string_view id);

  // The following report and clear what changed since the last call.

  // Services with a changed endpoint.
  std::set<std::string> TakeChangedServices();
  // Whether an address, incarnation or liveness changed, or a succession.
  bool TakeLocationsChanged();
  // Whether the set of live nodes changed.
  bool TakeMembershipChanged();

 private:
  void Assign(RegistryEntry* entry, const NodeRecord& record);
  void Rehash(RegistryEntry* entry, int64_t ended_ago_ms);

  const Clock* const clock_;
  StringPool pool_;
  // The keys point into the entries.
  Entries entries_;
  Successions successions_;
  BucketDigests digests_;
  std::set<std::string> changed_services_;
  bool locations_changed_ = true;
  bool membership_changed_ = true;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_REGISTRY_REGISTRY_H_
