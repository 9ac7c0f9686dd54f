#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_TABLE_SYNC_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_TABLE_SYNC_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "distribution/delta_history.h"
#include "distribution/messages.h"
#include "distribution/version_floor.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/store/store_object.h"

namespace dragonflytack {

class LinkTable;
class Logger;
struct LinkState;

// Decides which version of the table this node holds and which one is in force,
// and sends newer versions to peers. Neither version ever falls.
class TableSync final {
 public:
  using InForceCallback = std::function<void()>;

  static constexpr size_t kInForceHistorySize = 64;
  // An unacknowledged delta or table request is sent again after this time.
  static constexpr Milliseconds kResendInterval{1'000};
  // Frames above this size are large: they are sent to few peers at a time. A
  // frame of 300 KB takes 0.35 s of a link of 7 Mbit/s, and calls and the ends
  // of abandoned calls wait behind all that are in flight.
  static constexpr size_t kLargeFrameBytes = 32'768;
  static constexpr size_t kMaxLargePushes = 2;
  // A large frame without an acknowledgement no longer counts as in flight
  // after this time, and is sent again.
  static constexpr Milliseconds kLargePushTimeout{3'000};
  // Minimum number of peers that must hold a version read from the store before
  // this node puts it in force. If fewer are available, all of them.
  static constexpr size_t kMinHolders = 2;
  // How long a node without a table in force waits for a newer version that a
  // peer holds. A peer that cannot deliver it would otherwise block the start.
  // It is enough for five requests.
  static constexpr Milliseconds kNewerVersionTimeout{5'000};

  // All pointers must outlive the object. If `store_only` is true, every node
  // reads the store itself and peers exchange no tables.
  TableSync(LinkTable* links,
            const Clock* clock,
            Logger* logger,
            bool store_only);
  TableSync(const TableSync&) = delete;
  TableSync& operator=(const TableSync&) = delete;

  void set_on_in_force(InForceCallback on_in_force) {
    on_in_force_ = std::move(on_in_force);
  }

  // Parses and validates the store's object "table" and accepts or refuses it.
  void OnStoreObject(const StoreObject& object);
  // Handles a store without a table object: a node that holds no table starts
  // with an empty one of version 0.
  void OnTableMissing();

  void OnDelta(LinkState* link, const DeltaMessage& message);
  void OnTable(LinkState* link, const TableMessage& message);
  void OnRequest(LinkState* link, const TableRequestMessage& message);
  // Records that the peer holds `version`. Requests it if it is newer than the
  // held version, otherwise pushes the held version to the peer.
  void OnPeerVersion(LinkState* link, TableVersion version);

  // Sends the whole held table, for example as part of a snapshot.
  void SendTable(LinkState* link);

  // Puts the held version in force if all conditions for it are met.
  // `floor_known` is true if the value of the version floor is reliable.
  void Evaluate(bool floor_known);

  // Records that the store or a peer has reported `version`, whether or not
  // this node can get it or accepts it.
  void RecordKnownVersion(TableVersion version) {
    newest_known_ = std::max(newest_known_, version);
  }

  VersionFloor& floor() { return floor_; }
  const VersionFloor& floor() const { return floor_; }
  const std::shared_ptr<const Table>& in_force() const { return in_force_; }
  // The newest table received, in force or not; null before the first one.
  const std::shared_ptr<const Table>& held_table() const { return held_table_; }
  // Version of held_table(), 0 if held_table() is null.
  TableVersion held_version() const;
  // Highest version that the store or a peer has reported. While it is above
  // the version in force, that one is known to be outdated. It is never
  // lowered, so a peer that reports a version that does not exist makes this
  // node treat its table as outdated until a version as high comes into force.
  TableVersion newest_known() const { return newest_known_; }
  // Highest version read from the store that was refused as invalid, 0 if none.
  TableVersion refused() const { return refused_; }
  // Version refused last, from the store or a peer, and the reason.
  TableVersion last_refused() const { return last_refused_; }
  const Failure& refusal() const { return refusal_; }
  // Number of refusals since the start.
  uint64_t refusals() const { return refusals_; }
  // Last version for which a content was reported that differs from the one
  // held, 0 if none, and the number of such contents since the start.
  TableVersion ambiguous_version() const { return ambiguous_version_; }
  uint64_t differing_contents() const { return differing_contents_; }
  // Wall time in milliseconds of the last edit in held_table() by the editor's
  // clock, 0 if held_table() was not read from the store.
  int64_t edit_time_ms() const { return edit_time_ms_; }
  // The last kInForceHistorySize versions with the wall time in milliseconds at
  // which each was put in force, oldest first.
  const std::deque<std::pair<TableVersion, int64_t>>& in_force_since() const {
    return in_force_since_;
  }

 private:
  // Makes `table` the held version and pushes it to all peers. `source` is the
  // link it came from, null for the store.
  void SetHeldTable(std::shared_ptr<const Table> table,
                    bool from_store,
                    LinkState* source,
                    int64_t edit_time_ms = 0);
  // Records and logs a refusal. `source` is null for the store. A version sent
  // by a peer is refused from that peer only: the peer has it in force, so the
  // copy was corrupted in transit or the peer runs another program version.
  void Refuse(TableVersion version, const Failure& reason, LinkState* source);
  // Records and logs that the held version has another content, with this
  // digest, at the store or a peer. `source` is null for the store. The held
  // content stays: neither of the two is known to be the later one.
  void RecordDigest(uint64_t digest, const LinkState* source);
  // Returns whether enough of the responsive peers that have a table in force
  // hold the held version, one of them outside this data centre if there is
  // any.
  bool HasEnoughHolders() const;
  // Requests newer versions than the held one that linked peers hold, in force
  // or not. Returns whether one of them may still be delivered. Used only until
  // a table is in force.
  bool AwaitsNewerVersion();
  void Push(LinkState* link);
  // Pushes a large held version to further peers as acknowledgements arrive.
  void PushLarge();
  // Returns the links that are up, those within this data centre first.
  std::vector<LinkState*> UpByDistance();
  // Whether the last encoded frame has the held version and is large.
  bool IsHeldVersionLarge() const;
  // Whether a push of the held version to the peer was not acknowledged yet and
  // its time is not over.
  bool IsPushInFlight(const LinkState& link) const;
  // Number of links on which a push of the held version is in flight.
  size_t PushesInFlight() const;
  void RequestTable(LinkState* link, bool whole);
  // Returns the encoded delta from `from` to the held version and its message
  // kind; a HeldVersionMessage if the history does not reach back to `from`.
  std::string DeltaFrame(TableVersion from, size_t* kind);

  LinkTable* const links_;
  const Clock* const clock_;
  Logger* const logger_;
  const bool store_only_;
  InForceCallback on_in_force_;
  VersionFloor floor_;
  bool floor_known_ = false;
  std::shared_ptr<const Table> in_force_;
  std::shared_ptr<const Table> held_table_;
  // Whether held_table_ was read from the store and must be held by peers
  // before it is put in force. False once a peer has sent it.
  bool needs_holders_ = false;
  // Source of held_table_: "store" or the id of the peer that sent it.
  std::string held_table_source_;
  int64_t edit_time_ms_ = 0;
  DeltaHistory history_;
  TableVersion newest_known_ = 0;
  TableVersion refused_ = 0;
  TableVersion last_refused_ = 0;
  Failure refusal_;
  uint64_t refusals_ = 0;
  TableVersion ambiguous_version_ = 0;
  uint64_t differing_contents_ = 0;
  // The digest that was recorded last for ambiguous_version_, so that each
  // content is logged once.
  uint64_t differing_digest_ = 0;
  std::deque<std::pair<TableVersion, int64_t>> in_force_since_;
  // The last encoded delta, cached because it is usually sent on many links.
  std::pair<TableVersion, TableVersion> last_frame_range_;
  std::string last_frame_;
  size_t last_frame_kind_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_TABLE_SYNC_H_
