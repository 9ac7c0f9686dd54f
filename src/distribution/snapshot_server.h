#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_SNAPSHOT_SERVER_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_SNAPSHOT_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "distribution/link_state.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

class LinkTable;
class Random;
class Registry;
class RegistrySync;
class TableSync;

// Sends the table and the registry to joining nodes, to at most kMaxServed at a
// time.
class SnapshotServer final {
 public:
  static constexpr size_t kMaxServed = 2;
  // A joining node that has not confirmed the snapshot after this time no
  // longer counts as being served.
  static constexpr Milliseconds kServeTimeout{10'000};
  static constexpr uint32_t kMinRetryMs = 500;
  static constexpr size_t kMaxAlternatives = 4;

  SnapshotServer(Registry* registry,
                 RegistrySync* registry_sync,
                 TableSync* table_sync,
                 LinkTable* links,
                 const Clock* clock,
                 Random* random);

  void OnRequest(LinkState* link);
  // Called when the joining node has confirmed the snapshot or its link has
  // been removed.
  void Release(LinkId link) { served_.erase(link); }
  void Tick();
  size_t served() const { return served_.size(); }

 private:
  std::vector<HostPort> AlternativesFor(const NodeId& joining_node);

  Registry* const registry_;
  RegistrySync* const registry_sync_;
  TableSync* const table_sync_;
  LinkTable* const links_;
  const Clock* const clock_;
  Random* const random_;
  // Links of the joining nodes that are being served, with the request times.
  std::map<LinkId, TimePoint> served_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_SNAPSHOT_SERVER_H_
