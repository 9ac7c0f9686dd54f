#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_MESSAGES_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_MESSAGES_H_

#include <array>
#include <cstdint>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "distribution/store_watch_state.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/registry/node_record.h"
#include "dragonflytack/table/table.h"
#include "dragonflytack/table/table_delta.h"
#include "registry/bucket_digests.h"
#include "registry/registry_digest.h"
#include "registry/succession.h"
#include "registry/suspicion.h"

// The messages between nodes. They are plain values; MessageCodec encodes and
// decodes them.
namespace dragonflytack {

// First message on each link, sent by both peers.
struct HelloMessage final {
  // Version in force; `in_force` is false before the first one.
  bool in_force = false;
  TableVersion version = 0;
  // Highest version that the sender holds, in force or not.
  TableVersion held = 0;
  // Highest version that the receiver is known to have had in force, also
  // before its last restart; 0 if none.
  TableVersion known_version = 0;
  // Last version that the sender refused as invalid, 0 for none.
  TableVersion refused = 0;
  // Incarnation and sequence of the receiver's record in the sender's registry,
  // 0 if it has none.
  uint64_t known_incarnation = 0;
  uint64_t known_sequence = 0;
  // The departure that the sender's registry has for the receiver, empty if the
  // receiver's target has served without one; std::nullopt if neither is known.
  std::optional<TargetRun> known_departure;

  friend bool operator==(const HelloMessage&, const HelloMessage&) = default;
};

struct HeartbeatMessage final {
  // Version in force; `in_force` is false before the first one.
  bool in_force = false;
  TableVersion version = 0;
  RegistryDigest digest;
  StoreWatchState store_watch = StoreWatchState::kDefault;

  friend bool operator==(const HeartbeatMessage&,
                         const HeartbeatMessage&) = default;
};

// A record with the node's liveness in the sender's registry.
struct RecordUpdate final {
  NodeRecord record;
  Liveness liveness = Liveness::kAlive;
  // Seconds since the node left or died, rounded up.
  uint64_t ended_ago_s = 0;

  friend bool operator==(const RecordUpdate&, const RecordUpdate&) = default;
};

struct SuccessionUpdate final {
  Succession succession;
  // Seconds since the succession, rounded up.
  uint64_t age_s = 0;

  friend bool operator==(const SuccessionUpdate&,
                         const SuccessionUpdate&) = default;
};

// New or repaired entries of the registry.
struct RecordsMessage final {
  std::vector<RecordUpdate> records;
  std::vector<SuccessionUpdate> successions;

  friend bool operator==(const RecordsMessage&,
                         const RecordsMessage&) = default;
};

struct SuspicionsMessage final {
  std::vector<Suspicion> suspicions;

  friend bool operator==(const SuspicionsMessage&,
                         const SuspicionsMessage&) = default;
};

struct DeltaMessage final {
  TableDelta delta;

  friend bool operator==(const DeltaMessage&, const DeltaMessage&) = default;
};

// Reports the version that the sender holds.
struct HeldVersionMessage final {
  TableVersion version = 0;

  friend bool operator==(const HeldVersionMessage&,
                         const HeldVersionMessage&) = default;
};

// Requests the changes after `base_version`. The response is a delta, a whole
// table, or the held version if there are no changes.
struct TableRequestMessage final {
  bool has_table = false;
  TableVersion base_version = 0;

  friend bool operator==(const TableRequestMessage&,
                         const TableRequestMessage&) = default;
};

struct TableMessage final {
  TableVersion version = 0;
  uint64_t digest = 0;
  Table::Rows rows;
  Table::Routes routes;
  Table::Accounts accounts;

  friend bool operator==(const TableMessage&, const TableMessage&) = default;
};

// Requests the table and the registry. The response is a TableMessage, several
// RecordsMessages and a SnapshotEndMessage, or a SnapshotBusyMessage.
struct SnapshotRequestMessage final {
  friend bool operator==(const SnapshotRequestMessage&,
                         const SnapshotRequestMessage&) = default;
};

struct SnapshotEndMessage final {
  friend bool operator==(const SnapshotEndMessage&,
                         const SnapshotEndMessage&) = default;
};

// Confirms that the joining node has received the snapshot, so that its server
// may serve another one.
struct SnapshotReceivedMessage final {
  friend bool operator==(const SnapshotReceivedMessage&,
                         const SnapshotReceivedMessage&) = default;
};

struct SnapshotBusyMessage final {
  // Delay before the next request to the same peer.
  uint32_t retry_ms = 0;
  // Other peers that may serve the snapshot, nearest to the requester first.
  std::vector<HostPort> alternatives;

  friend bool operator==(const SnapshotBusyMessage&,
                         const SnapshotBusyMessage&) = default;
};

// First step of an anti-entropy repair: the digests of all buckets.
struct BucketsMessage final {
  BucketDigests::Buckets buckets{};

  friend bool operator==(const BucketsMessage&,
                         const BucketsMessage&) = default;
};

// Second step: the hashes of all entries in the buckets that differ. The
// response is a RecordsMessage with the entries that the sender lacks and an
// EntryRequestMessage for those that the receiver lacks.
struct BucketHashesMessage final {
  std::vector<std::pair<uint8_t, std::vector<uint64_t>>> buckets;

  friend bool operator==(const BucketHashesMessage&,
                         const BucketHashesMessage&) = default;
};

// Third step: requests the entries with these hashes.
struct EntryRequestMessage final {
  std::vector<uint64_t> hashes;

  friend bool operator==(const EntryRequestMessage&,
                         const EntryRequestMessage&) = default;
};

// The index of an alternative is the message kind on the wire.
using Message = std::variant<HelloMessage,
                             HeartbeatMessage,
                             RecordsMessage,
                             SuspicionsMessage,
                             DeltaMessage,
                             HeldVersionMessage,
                             TableRequestMessage,
                             TableMessage,
                             SnapshotRequestMessage,
                             SnapshotEndMessage,
                             SnapshotReceivedMessage,
                             SnapshotBusyMessage,
                             BucketsMessage,
                             BucketHashesMessage,
                             EntryRequestMessage>;

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_MESSAGES_H_
