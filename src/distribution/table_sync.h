#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_TABLE_SYNC_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_TABLE_SYNC_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

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

// Decides which version of the table this node holds, which is in force, and
// sends versions to peers that lack them. Versions only rise.
class TableSync final {
 public:
  using InForceCallback = std::function<void()>;

  static constexpr size_t kConvergenceVersions = 64;
  // An offer or request that was not answered is repeated after this time.
  static constexpr Milliseconds kRepeat{1'000};
  // Peers that must hold a version read from the store before it is in force.
  static constexpr size_t kHolders = 2;

  // The pointers must outlive it. `baseline` means that every node reads the
  // store itself and peers exchange no tables.
  TableSync(LinkTable* links,
            const Clock* clock,
            Logger* logger,
            bool baseline);
  TableSync(const TableSync&) = delete;
  TableSync& operator=(const TableSync&) = delete;

  void set_on_in_force(InForceCallback on_in_force) {
    on_in_force_ = std::move(on_in_force);
  }

  // Takes the store's object "table", parsed and judged here.
  void OnStoreObject(const StoreObject& object);
  // Takes note that the store has no table object, for a node without a table.
  void OnNoTable();

  void OnDelta(LinkState* link, const DeltaMessage& message);
  void OnTable(LinkState* link, const TableMessage& message);
  void OnRequest(LinkState* link, const TableRequestMessage& message);
  // Takes note of a version that the peer holds; pushes to it or requests from
  // it.
  void OnPeerVersion(LinkState* link, TableVersion version);

  // Sends the whole table, for a snapshot.
  void SendWhole(LinkState* link);

  // Puts the newest version in force when its conditions have come to hold.
  // `floor_known` says whether the floor's value counts.
  void Evaluate(bool floor_known);

  VersionFloor& floor() { return floor_; }
  const VersionFloor& floor() const { return floor_; }
  const std::shared_ptr<const Table>& in_force() const { return in_force_; }
  // The newest version, in force or not; null before the first.
  const std::shared_ptr<const Table>& newest() const { return newest_; }
  // Version of newest(), 0 without one.
  TableVersion held() const;
  // Highest version of the store that is invalid; 0 for none.
  TableVersion refused() const { return refused_; }
  // Last version that was refused, from the store or a peer, and why.
  TableVersion last_refused() const { return last_refused_; }
  const Failure& refusal() const { return refusal_; }
  // Number of refusals since the start.
  uint64_t refusals() const { return refusals_; }
  // Time of the last edit in newest() by the editor's clock, 0 when newest()
  // did not come from the store.
  int64_t edit_ms() const { return edit_ms_; }
  const std::deque<std::pair<TableVersion, int64_t>>& in_force_since() const {
    return in_force_since_;
  }

 private:
  void Adopt(std::shared_ptr<const Table> table,
             bool from_store,
             LinkState* source,
             int64_t edit_ms = 0);
  // Remembers and logs a refusal. `source` is null for the store. What a peer
  // sent is refused from that peer only: the peer has the version in force, so
  // the copy was damaged or its program differs.
  void Refuse(TableVersion version, const Failure& reason, LinkState* source);
  bool EnoughHolders() const;
  void Push(LinkState* link);
  void Request(LinkState* link, bool whole);
  std::string DeltaFrame(TableVersion from, size_t* kind);

  LinkTable* const links_;
  const Clock* const clock_;
  Logger* const logger_;
  const bool baseline_;
  InForceCallback on_in_force_;
  VersionFloor floor_;
  bool floor_known_ = false;
  std::shared_ptr<const Table> in_force_;
  std::shared_ptr<const Table> newest_;
  // newest_ was read from the store and no peer has sent it yet.
  bool needs_holders_ = false;
  // "store" or the peer that sent newest_.
  std::string newest_from_;
  int64_t edit_ms_ = 0;
  DeltaHistory history_;
  TableVersion refused_ = 0;
  TableVersion last_refused_ = 0;
  Failure refusal_;
  uint64_t refusals_ = 0;
  std::deque<std::pair<TableVersion, int64_t>> in_force_since_;
  // The last encoded delta, which mostly goes to many links.
  std::pair<TableVersion, TableVersion> frame_range_;
  std::string frame_;
  size_t frame_kind_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_TABLE_SYNC_H_
