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

// Keeps the registries of all nodes equal. Floods records, suspicions and
// successions in batches, once per link, and repairs differences that it finds
// by comparing digests (anti-entropy). No other class changes the record of
// this node.
class RegistrySync final {
 public:
  // Delay between a change and the Flush() that sends it.
  static constexpr Milliseconds kBatchDelay{20};
  static constexpr Milliseconds kRepairInterval{2'000};
  static constexpr size_t kMaxBatchEntries = 512;
  // A link with more queued bytes gets no further batches until it drains.
  static constexpr size_t kMaxQueuedBytes = 1'000'000;

  // The pointers must outlive this object. `on_change` is called when a batch
  // is pending or routes may have changed.
  RegistrySync(NodeRecord self,
               Registry* registry,
               LinkTable* links,
               const Clock* clock,
               Logger* logger,
               std::function<void()> on_change);
  RegistrySync(const RegistrySync&) = delete;
  RegistrySync& operator=(const RegistrySync&) = delete;

  const NodeRecord& self() const { return self_; }
  // Replaces the fields of this node's record and raises its sequence.
  void UpdateSelf(NodeRecord changed);
  // Announces that this node serves the one-time records of (owner,
  // incarnation).
  void TakeOver(const NodeId& owner, uint64_t incarnation);
  // Starts a suspicion of a node at the revision in the registry.
  void Suspect(const NodeId& id);
  // Declares nodes dead whose suspicion has expired.
  void Expire();
  // Retracts all suspicions after a pause of this node.
  void RetractSuspicions();
  // Number of suspicions that are neither refuted nor expired.
  size_t active_suspicions() const { return detector_.size(); }

  // Handles the record that a peer presented on connecting or that a message
  // carries.
  void OnRecord(LinkState* from, const RecordUpdate& update);
  void OnRecords(LinkState* from, const RecordsMessage& message);
  void OnSuspicions(LinkState* from, const SuspicionsMessage& message);
  // Handles the revision of this node's record that a peer holds. Raises the
  // incarnation if that revision is newer than the current one.
  void OnKnownRevision(uint64_t incarnation, uint64_t sequence);
  // Sends a peer any suspicion about itself, so that it can refute it.
  void SendOwnSuspicion(LinkState* link);

  // Compares the digest of a heartbeat with that of this node's registry and
  // starts a repair if they keep differing. `may_repair` is false on links that
  // must not carry a repair.
  void OnDigest(LinkState* link, const RegistryDigest& digest, bool may_repair);
  void OnBuckets(LinkState* link, const BucketsMessage& message);
  void OnBucketHashes(LinkState* link, const BucketHashesMessage& message);
  void OnEntryRequest(LinkState* link, const EntryRequestMessage& message);

  // Sends the pending batches. Returns false if a batch has to wait for the
  // queue of its link to drain.
  bool Flush();
  // Sends the whole registry in chunks.
  void SendAll(LinkState* link);

 private:
  using HashFilter = std::function<bool(uint8_t bucket, uint64_t hash)>;

  void FloodRecord(const NodeId& id, const LinkState* except);
  void FloodSuspicion(const Suspicion& suspicion, const LinkState* except);
  void FloodSuccession(const Succession& succession, const LinkState* except);
  void RaiseIncarnation(uint64_t above);
  void PublishSelf();
  void SendMatching(LinkState* link, const HashFilter& filter);
  void SendChunk(LinkState* link, RecordsMessage* chunk);
  RecordUpdate ToUpdate(const RegistryEntry& entry) const;
  SuccessionUpdate ToUpdate(const Succession& succession) const;

  NodeRecord self_;
  Registry* const registry_;
  LinkTable* const links_;
  const Clock* const clock_;
  Logger* const logger_;
  const std::function<void()> on_change_;
  FailureDetector detector_;
  // Owners whose records this node took over, and whether it has announced the
  // takeover again after a competing announcement. It does so once only,
  // because the two nodes could otherwise supersede each other forever.
  std::map<std::pair<NodeId, uint64_t>, bool> taken_over_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_REGISTRY_SYNC_H_
