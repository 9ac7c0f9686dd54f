#include "onetime/key_location.h"

#include <algorithm>
#include <tuple>

#include "dragonflytack/base/hash.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "onetime/one_time_records.h"

namespace dragonflytack {

namespace {

// Bounds the search in successor entries that form a loop or a very long chain.
constexpr int kMaxChainLength = 16;

const NodeLocation* FindLiveNode(const RouteSnapshot& routes,
                                 const NodeId& id) {
  if (routes.nodes == nullptr) {
    return nullptr;
  }
  const auto it = routes.nodes->find(id);
  return it == routes.nodes->end() || it->second.liveness == Liveness::kDead
             ? nullptr
             : &it->second;
}

// Returns the successor entry of the newest process of `id` that handed its
// records over, or null if there is none.
const std::pair<const OwnerIncarnation, NodeId>* FindLastHandover(
    const RouteSnapshot& routes,
    const NodeId& id) {
  auto it = routes.successors->lower_bound({id, UINT64_MAX});
  if (it == routes.successors->begin() || std::prev(it)->first.first != id) {
    return nullptr;
  }
  return &*std::prev(it);
}

}  // namespace

KeyLocation KeyLocation::Find(const OwnerIncarnation& owner,
                              const RouteSnapshot& routes,
                              const OneTimeRecords& records) {
  if (records.HasRecordsOf(owner)) {
    return {Kind::kLocal, {}};
  }
  const NodeLocation* node = FindLiveNode(routes, owner.first);
  // A key may be newer than this node's snapshot; then its owner decides.
  if (node != nullptr && node->incarnation <= owner.second &&
      owner.first != records.self()) {
    return {Kind::kRemote, *node};
  }
  if (routes.successors == nullptr) {
    return {};
  }
  const auto entry = routes.successors->find(owner);
  const auto* step = entry == routes.successors->end() ? nullptr : &*entry;
  for (int i = 0; i < kMaxChainLength && step != nullptr; ++i) {
    const NodeId& successor = step->second;
    if (successor == records.self()) {
      // An earlier process of this node had the records.
      step = FindLastHandover(routes, successor);
      continue;
    }
    node = FindLiveNode(routes, successor);
    if (node != nullptr) {
      return {Kind::kRemote, *node};
    }
    step = FindLastHandover(routes, successor);
  }
  return {};
}

std::vector<NodeLocation> SuccessorCandidates(const NodeId& self,
                                              const std::string& data_centre,
                                              const RouteSnapshot& routes) {
  const uint64_t seed = Hash64(data_centre);
  const uint64_t own_rank = Hash64(self, seed);
  // Sort key: in another data centre, above the own rank, descending rank.
  std::vector<std::tuple<bool, bool, uint64_t, NodeLocation>> found;
  for (const auto& [name, service] : routes.services) {
    for (const Endpoint& endpoint : service->endpoints) {
      const NodeRecord& record = endpoint.record;
      if (record.id == self || endpoint.liveness != Liveness::kAlive ||
          (record.state != TargetState::kWarming &&
           record.state != TargetState::kReady)) {
        continue;
      }
      const uint64_t rank = Hash64(record.id, seed);
      found.emplace_back(record.data_centre != data_centre, rank > own_rank,
                         UINT64_MAX - rank,
                         NodeLocation{record.id, record.incarnation,
                                      record.address, record.mesh_port,
                                      endpoint.liveness, record.data_centre});
    }
  }
  std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
    return std::tie(std::get<0>(a), std::get<1>(a), std::get<2>(a)) <
           std::tie(std::get<0>(b), std::get<1>(b), std::get<2>(b));
  });
  std::vector<NodeLocation> candidates;
  for (auto& entry : found) {
    candidates.push_back(std::move(std::get<3>(entry)));
  }
  return candidates;
}

}  // namespace dragonflytack
