#include "distribution/snapshot_server.h"

#include <array>
#include <utility>

#include "distribution/link_table.h"
#include "distribution/registry_sync.h"
#include "distribution/table_sync.h"
#include "dragonflytack/base/random.h"

namespace dragonflytack {

SnapshotServer::SnapshotServer(Registry* registry,
                               RegistrySync* registry_sync,
                               TableSync* table_sync,
                               LinkTable* links,
                               const Clock* clock,
                               Random* random)
    : registry_(registry),
      registry_sync_(registry_sync),
      table_sync_(table_sync),
      links_(links),
      clock_(clock),
      random_(random) {}

void SnapshotServer::OnRequest(LinkState* link) {
  const bool busy = served_.size() >= kMaxServed && !served_.contains(link->id);
  if (busy || table_sync_->in_force() == nullptr) {
    SnapshotBusyMessage message;
    message.retry_ms =
        kMinRetryMs + static_cast<uint32_t>(random_->Below(kMinRetryMs));
    if (busy) {
      message.alternatives = AlternativesFor(link->peer);
    }
    links_->Send(link, message);
    return;
  }
  served_[link->id] = clock_->Now();
  table_sync_->SendTable(link);
  registry_sync_->SendAll(link);
  links_->Send(link, SnapshotEndMessage{});
}

void SnapshotServer::Tick() {
  std::erase_if(served_, [now = clock_->Now()](const auto& item) {
    return now - item.second > kServeTimeout;
  });
}

std::vector<HostPort> SnapshotServer::AlternativesFor(
    const NodeId& joining_node) {
  const RegistryEntry* joining_entry = registry_->Find(joining_node);
  const NodeId& self = registry_sync_->self().id;
  std::array<std::vector<const RegistryEntry*>, 3> by_distance;
  for (const auto& [id, entry] : registry_->entries()) {
    if (!entry->IsLive() || entry->id == joining_node || entry->id == self) {
      continue;
    }
    const size_t distance = joining_entry == nullptr ? 2
                            : entry->data_centre == joining_entry->data_centre
                                ? 0
                            : entry->region == joining_entry->region ? 1
                                                                     : 2;
    by_distance[distance].push_back(entry.get());
  }
  std::vector<HostPort> alternatives;
  for (std::vector<const RegistryEntry*>& nodes : by_distance) {
    while (!nodes.empty() && alternatives.size() < kMaxAlternatives) {
      std::swap(nodes[random_->Below(nodes.size())], nodes.back());
      alternatives.push_back(
          HostPort{nodes.back()->address, nodes.back()->peer_port});
      nodes.pop_back();
    }
    // Nodes of other regions are named only if there is no nearer one.
    if (&nodes == &by_distance[1] && !alternatives.empty()) {
      break;
    }
  }
  return alternatives;
}

}  // namespace dragonflytack
