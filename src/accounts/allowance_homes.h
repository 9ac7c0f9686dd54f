#ifndef DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_HOMES_H_
#define DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_HOMES_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

// Chooses the home node of each account. Each data centre has one of the nodes
// to choose from, so that a part of the fleet that is cut off has one too. All
// nodes that know the same nodes choose the same; a home node that does not
// respond is replaced by the next one until it responds again.
class AllowanceHomes final {
 public:
  // A node that did not respond is tried again after this time: a home node
  // that was only late once is away for a quarter of a second.
  static constexpr Milliseconds kRetryPeriod{250};

  struct Home {
    NodeId node;
    // Number of nodes that take precedence and did not respond.
    uint32_t skipped = 0;
  };

  struct Node {
    NodeId id;
    std::string data_centre;
  };

  AllowanceHomes() = default;
  // All accounts have the same node, which depends on `key`. In this way the
  // entry nodes of a data centre spread over its agents.
  explicit AllowanceHomes(std::string key) : key_(std::move(key)) {}

  // Sets the nodes that are not known to be dead. Returns whether the set of
  // home nodes has changed.
  bool SetNodes(const std::vector<Node>& nodes);

  // Returns the home node of an account; `node` is empty if there is none.
  Home Find(const std::string& account) const;
  // Returns the node that takes precedence, whether it responds or not.
  NodeId First(const std::string& account) const;
  bool Contains(const NodeId& node) const {
    return std::binary_search(homes_.begin(), homes_.end(), node);
  }

  bool IsSilent(const NodeId& node) const { return silent_.contains(node); }

  // Returns the home nodes that are due for an empty request: silent ones, so
  // that no call waits for them, and in turns all others, so that a node with
  // few calls detects silent ones before a call has to wait.
  std::vector<NodeId> TakeProbes(TimePoint now);
  // Returns only the silent ones that are due.
  std::vector<NodeId> TakeSilent(TimePoint now);

  void OnResponse(const NodeId& node);
  void OnNoResponse(const NodeId& node, TimePoint now);
  // The process of a node has ended: the next node takes its place, as if the
  // node were not known.
  void OnNodeEnded(const NodeId& node, TimePoint now);

 private:
  // The home nodes in the order of precedence.
  std::vector<std::pair<uint64_t, const NodeId*>> Rank(
      const std::string& account) const;

  std::string key_;
  std::vector<NodeId> homes_;
  size_t next_probe_ = 0;
  TimePoint next_probe_time_{};
  struct Silence {
    TimePoint next_probe;
    bool has_ended = false;
  };
  std::unordered_map<NodeId, Silence> silent_;
  // Nodes that respond again, and until when they are passed over while a node
  // with precedence is silent. After a partition, an account would otherwise
  // have several later home nodes, each with a part of what the bounds add.
  std::unordered_map<NodeId, TimePoint> returning_;
  TimePoint now_{};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_HOMES_H_
