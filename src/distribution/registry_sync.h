#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_REGISTRY_SYNC_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_REGISTRY_SYNC_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "distribution/link_state.h"
#include "distribution/messages.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/node_record.h"
#include "registry/failure_detector.h"
#include "registry/registry.h"

namespace dragonflytack {

class LinkTable;
class Logger;

// Keeps the registry equal on all nodes: floods records, suspicions and
// successions once per link in batches, repairs by digests, and is the only
// one to change this node's own record.
class RegistrySync final {
 public:
  // Flush() is due this long after a change.
  static constexpr Milliseconds kBatchTime{20};
  static constexpr Milliseconds kRepairInterval{2'000};
  static constexpr size_t kMaxBatch = 512;
  // A link with more bytes waiting gets no further batches until it drains.
  static constexpr size_t kMaxQueuedBytes = 1'000'000;

  // The pointers must outlive it. `on_change` is called when a batch waits or
  // routes may have changed.
  RegistrySync(NodeRecord self,
               Registry* registry,
               LinkTable* links,
               const Clock* clock,
               Logger* logger,
               std::function<void()> on_change);
  RegistrySync(const RegistrySync&) = delete;
  RegistrySync& operator=(const RegistrySync&) = delete;

  const NodeRecord& self() const { return self_; }
  // Replaces the own record's fields and raises its sequence.
  void UpdateSelf(NodeRecord changed);
  // Announces that this node answers for the records of (home, incarnation).
  void TakeOver(const NodeId& owner, uint64_t incarnation);
  // Begins a suspicion of a node in the state it is known in.
  void Suspect(const NodeId& id);
  // Declares nodes dead whose suspicions are old enough.
  void Expire();
  // Takes back all suspicions after a pause.
  void DropSuspicions();
  size_t suspects() const { return detector_.size(); }

  // Takes the record that a peer presented or that a message carries.
  void OnRecord(LinkState* from, const RecordUpdate& update);
  void OnRecords(LinkState* from, const RecordsMessage& message);
  void OnSuspicions(LinkState* from, const SuspicionsMessage& message);
  // Takes the age that a peer knows of this node.
  void OnKnownAge(uint64_t incarnation, uint64_t sequence);
  // Tells a peer of a suspicion about itself, so that it refutes it.
  void SendOwnSuspicion(LinkState* link);

  // Takes a heartbeat's digest. `may_repair` is false on links that must not
  // carry a repair.
  void OnDigest(LinkState* link, const RegistryDigest& digest, bool may_repair);
  void OnBuckets(LinkState* link, const BucketsMessage& message);
  void OnBucketHashes(LinkState* link, const BucketHashesMessage& message);
  void OnEntryRequest(LinkState* link, const EntryRequestMessage& message);

  // Sends the batches that wait.
  void Flush();
  // Sends the whole registry in parts.
  void SendAll(LinkState* link);

 private:
  using HashFilter = std::function<bool(uint8_t bucket, uint64_t hash)>;

  void FloodRecord(const NodeId& id, const LinkState* except);
  void FloodSuspicion(const Suspicion& suspicion, const LinkState* except);
  void FloodSuccession(const Succession& succession, const LinkState* except);
  void RaiseIncarnation(uint64_t above);
  void CommitSelf();
  void SendMatching(LinkState* link, const HashFilter& filter);
  void SendPart(LinkState* link, RecordsMessage* part);
  RecordUpdate ToUpdate(const RegistryEntry& entry) const;
  SuccessionUpdate ToUpdate(const Succession& succession) const;

  NodeRecord self_;
  Registry* const registry_;
  LinkTable* const links_;
  const Clock* const clock_;
  Logger* const logger_;
  const std::function<void()> on_change_;
  FailureDetector detector_;
  // Homes whose records this node took over, and whether it claimed them again
  // after another claim. A second repetition could go on for ever.
  std::map<std::pair<NodeId, uint64_t>, bool> taken_over_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_REGISTRY_SYNC_H_
