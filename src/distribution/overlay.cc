#include "distribution/overlay.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "dragonflytack/base/hash.h"
#include "registry/registry.h"

namespace dragonflytack {

namespace {

// Hash and entry. Equal hashes are ordered by id.
using Ranked = std::pair<uint64_t, const RegistryEntry*>;

bool RanksBefore(const Ranked& a, const Ranked& b) {
  return a.first != b.first ? a.first > b.first : a.second->id < b.second->id;
}

struct Ranking {
  std::vector<NodeId> highest_ranked;
  size_t own_rank = 0;
};

Ranking Rank(const std::vector<const RegistryEntry*>& nodes,
             const std::string& scope,
             const NodeId& self) {
  const uint64_t seed = Hash64(scope);
  std::vector<Ranked> ranked;
  ranked.reserve(nodes.size());
  const RegistryEntry* own = nullptr;
  for (const RegistryEntry* node : nodes) {
    ranked.emplace_back(Hash64(node->id, seed), node);
    own = node->id == self ? node : own;
  }
  Ranking ranking;
  if (own != nullptr) {
    const Ranked own_key(Hash64(self, seed), own);
    ranking.own_rank = static_cast<size_t>(std::count_if(
        ranked.begin(), ranked.end(),
        [&](const Ranked& other) { return RanksBefore(other, own_key); }));
  }
  const size_t count = std::min(Overlay::kRankedNodes, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<ptrdiff_t>(count),
                    ranked.end(), RanksBefore);
  for (size_t i = 0; i < count; ++i) {
    ranking.highest_ranked.push_back(ranked[i].second->id);
  }
  return ranking;
}

}  // namespace

std::set<size_t> Overlay::SuccessorOffsets(size_t n) {
  std::set<size_t> offsets;
  for (const size_t offset :
       {size_t{1}, size_t{2},
        static_cast<size_t>(std::lround(std::sqrt(static_cast<double>(n)))),
        n / 2}) {
    if (offset > 0 && offset < n) {
      offsets.insert(offset);
    }
  }
  return offsets;
}

Overlay Overlay::Compute(const Registry& registry, const NodeId& self) {
  Overlay overlay;
  const RegistryEntry* own = registry.Find(self);
  if (own == nullptr) {
    return overlay;
  }
  // The registry stores each name once, so names are looked up by address. With
  // lookups by text, these took most of the time at 5,300 nodes.
  using NodesByName =
      std::unordered_map<const std::string*, std::vector<const RegistryEntry*>>;
  NodesByName data_centres;
  NodesByName regions;
  std::unordered_set<const std::string*> neighbour_data_centres;
  for (const auto& [id, entry] : registry.entries()) {
    if (entry->IsLive() || entry.get() == own) {
      data_centres[entry->data_centre].push_back(entry.get());
      regions[entry->region].push_back(entry.get());
      if (entry->region == own->region &&
          entry->data_centre != own->data_centre) {
        neighbour_data_centres.insert(entry->data_centre);
      }
    }
  }
  for (const auto& [name, nodes] : data_centres) {
    Ranking ranking = Rank(nodes, *name, self);
    overlay.data_centre_ranks[*name] = std::move(ranking.highest_ranked);
    if (name == own->data_centre) {
      overlay.data_centre_rank = ranking.own_rank;
    }
  }
  for (const auto& [name, nodes] : regions) {
    Ranking ranking = Rank(nodes, *name, self);
    overlay.region_ranks[*name] = std::move(ranking.highest_ranked);
    if (name == own->region) {
      overlay.region_rank = ranking.own_rank;
    }
  }

  std::vector<std::pair<uint64_t, NodeId>> ring;
  for (const RegistryEntry* node : data_centres[own->data_centre]) {
    ring.emplace_back(Hash64(node->id), node->id);
  }
  std::sort(ring.begin(), ring.end());
  const size_t n = ring.size();
  const auto own_position =
      std::find(ring.begin(), ring.end(), std::pair(Hash64(self), self)) -
      ring.begin();
  for (const size_t offset : SuccessorOffsets(n)) {
    const auto own_index = static_cast<size_t>(own_position);
    overlay.successors.insert(ring[(own_index + offset) % n].second);
    overlay.predecessors.insert(ring[(own_index + n - offset) % n].second);
  }
  const std::vector<NodeId>& own_ranks =
      overlay.data_centre_ranks[*own->data_centre];
  if (overlay.data_centre_rank >= kGateways &&
      overlay.data_centre_rank < kGateways + kStandbyWatchers) {
    overlay.higher_ranked.insert(
        own_ranks.begin(),
        own_ranks.begin() + static_cast<ptrdiff_t>(overlay.data_centre_rank));
  }
  if (overlay.data_centre_rank < kGateways) {
    for (const std::string* name : neighbour_data_centres) {
      const std::vector<NodeId>& ranks = overlay.data_centre_ranks[*name];
      overlay.region_gateways.insert(
          ranks.begin(), ranks.begin() + static_cast<ptrdiff_t>(std::min(
                                             kGateways, ranks.size())));
    }
  }
  return overlay;
}

}  // namespace dragonflytack
