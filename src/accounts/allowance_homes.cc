#include "accounts/allowance_homes.h"

#include <algorithm>
#include <map>
#include <utility>

#include "accounts/allowance_timing.h"
#include "dragonflytack/base/hash.h"

namespace dragonflytack {

namespace {

// Few home nodes, so that the reports of many accounts share a message. In a
// large data centre more of them share the load.
constexpr size_t kNodesPerHome = 64;

// With a home node in each of six data centres, each is asked every 1.5 s.
constexpr Milliseconds kProbePeriod{250};

// Distinguishes these ranks from the others that are derived from node ids.
constexpr uint64_t kHomeSeed = 0x616c6c6f77;

}  // namespace

bool AllowanceHomes::SetNodes(const std::vector<Node>& nodes) {
  std::map<std::string, std::vector<std::pair<uint64_t, NodeId>>> ranked;
  for (const Node& node : nodes) {
    ranked[node.data_centre].emplace_back(Hash64(node.id, kHomeSeed), node.id);
  }
  std::vector<NodeId> homes;
  for (auto& [data_centre, members] : ranked) {
    const size_t count = (members.size() + kNodesPerHome - 1) / kNodesPerHome;
    std::partial_sort(members.begin(),
                      members.begin() + static_cast<std::ptrdiff_t>(count),
                      members.end());
    for (size_t i = 0; i < count; ++i) {
      homes.push_back(members[i].second);
    }
  }
  std::sort(homes.begin(), homes.end());
  if (homes == homes_) {
    return false;
  }
  homes_ = std::move(homes);
  std::erase_if(silent_, [this](const auto& item) {
    return !std::binary_search(homes_.begin(), homes_.end(), item.first);
  });
  return true;
}

std::vector<std::pair<uint64_t, const NodeId*>> AllowanceHomes::Rank(
    const std::string& account) const {
  const uint64_t seed = Hash64(key_.empty() ? account : key_);
  std::vector<std::pair<uint64_t, const NodeId*>> ranked;
  ranked.reserve(homes_.size());
  for (const NodeId& node : homes_) {
    ranked.emplace_back(Hash64(node, seed), &node);
  }
  std::sort(ranked.begin(), ranked.end());
  return ranked;
}

NodeId AllowanceHomes::First(const std::string& account) const {
  const auto ranked = Rank(account);
  return ranked.empty() ? NodeId() : *ranked.front().second;
}

AllowanceHomes::Home AllowanceHomes::Find(const std::string& account) const {
  uint32_t skipped = 0;
  Home returning;
  for (const auto& [rank, node] : Rank(account)) {
    const auto silent = silent_.find(*node);
    if (silent != silent_.end()) {
      skipped += silent->second.has_ended ? 0 : 1;
    } else if (skipped == 0 || !returning_.contains(*node)) {
      return {*node, skipped};
    } else if (returning.node.empty()) {
      returning = {*node, skipped};
    }
  }
  return returning;
}

void AllowanceHomes::OnResponse(const NodeId& node) {
  const auto found = silent_.find(node);
  if (found != silent_.end()) {
    silent_.erase(found);
    returning_[node] = now_ + kAllowanceReturnTime;
  }
}

std::vector<NodeId> AllowanceHomes::TakeSilent(TimePoint now) {
  now_ = now;
  std::erase_if(returning_,
                [now](const auto& item) { return item.second <= now; });
  std::vector<NodeId> due;
  for (auto& [node, silence] : silent_) {
    if (silence.next_probe <= now) {
      due.push_back(node);
      silence.next_probe = now + kRetryPeriod;
    }
  }
  return due;
}

std::vector<NodeId> AllowanceHomes::TakeProbes(TimePoint now) {
  std::vector<NodeId> due = TakeSilent(now);
  if (now >= next_probe_time_ && !homes_.empty()) {
    next_probe_time_ = now + kProbePeriod;
    const NodeId& next = homes_[next_probe_++ % homes_.size()];
    if (!silent_.contains(next)) {
      due.push_back(next);
    }
  }
  return due;
}

void AllowanceHomes::OnNoResponse(const NodeId& node, TimePoint now) {
  silent_[node].next_probe = now + kRetryPeriod;
}

void AllowanceHomes::OnNodeEnded(const NodeId& node, TimePoint now) {
  silent_[node] = {now + kRetryPeriod, true};
}

}  // namespace dragonflytack
