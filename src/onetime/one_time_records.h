#ifndef DRAGONFLYTACK_ONETIME_ONE_TIME_RECORDS_H_
#define DRAGONFLYTACK_ONETIME_ONE_TIME_RECORDS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/node_id.h"
#include "onetime/begin_decision.h"
#include "onetime/one_time_key.h"
#include "onetime/owner_incarnation.h"
#include "onetime/record_limits.h"
#include "onetime/record_set.h"

namespace dragonflytack {

// The one-time records of this process: those of its own keys and those it took
// over from processes that stopped. If an unexpired key has no record, no call
// with it was dispatched, because a record is added before the first dispatch
// and kept at least until the key expires.
class OneTimeRecords final {
 public:
  // `wall_ms` is the wall clock time at `now`. Later times are derived from the
  // monotonic clock only.
  OneTimeRecords(NodeId self,
                 uint64_t incarnation,
                 int64_t wall_ms,
                 TimePoint now,
                 RecordLimits limits);
  OneTimeRecords(const OneTimeRecords&) = delete;
  OneTimeRecords& operator=(const OneTimeRecords&) = delete;

  // Issues a key of this process.
  OneTimeKey NewKey(TimePoint now, Milliseconds lifetime) const;

  // Decides how a call that presents `key` is handled. `request_digest` covers
  // service, method, path and body: a key is valid only for the request that it
  // was first used for.
  BeginDecision Begin(const OneTimeKey& key,
                      uint64_t request_digest,
                      TimePoint now);

  // The Finish functions record the outcome of a dispatch. They return false
  // and change nothing if the record is in a final state, has another attempt,
  // or was handed over. FinishDone() and FinishNotRun() also apply to a record
  // in kUnknown.
  bool FinishDone(const OneTimeKey& key,
                  uint32_t attempt,
                  std::shared_ptr<const RecordedResponse> response,
                  TimePoint now);
  // The node beside the target reported that the attempt was not started and
  // never will be. No more attempts follow. The refusal is final for the key,
  // because a late copy of an earlier call cannot be distinguished from a new
  // call.
  bool FinishNotRun(const OneTimeKey& key, uint32_t attempt, TimePoint now);
  bool FinishUnknown(const OneTimeKey& key, uint32_t attempt, TimePoint now);
  // As FinishNotRun(), but the call will be dispatched again. Returns the new
  // attempt, or std::nullopt if `attempt` is not the one in flight.
  std::optional<uint32_t> Retry(const OneTimeKey& key, uint32_t attempt);

  // Returns the decision for a call that waited for the earlier call with
  // `key`, once that call has finished.
  BeginDecision RecordedDecision(const OneTimeKey& key);

  // Releases expired responses and records, a bounded number of them per call.
  void Sweep(TimePoint now);

  // Refuses calls without a record from now on; calls with a record continue.
  void BeginDrain() { draining_ = true; }
  bool draining() const { return draining_; }
  size_t dispatched() const { return dispatched_; }

  // Forwards all calls for the keys of `owner` to `successor` from now on.
  // Dispatches still in flight become unknown. May be called again with another
  // successor, see HandoverSender.
  void HandOverTo(const OwnerIncarnation& owner,
                  const NodeId& successor,
                  TimePoint now);

  // Takes over the complete records of another process. Returns false if this
  // process is draining, or holds or has handed over these records.
  bool Install(const OwnerIncarnation& owner, RecordSet set);

  // Returns whether this process holds or has handed over the records of
  // `owner`.
  bool HasRecordsOf(const OwnerIncarnation& owner) const {
    return sets_.contains(owner);
  }
  // Returns the owners whose records this process holds and has not handed
  // over.
  std::vector<OwnerIncarnation> ServedOwners() const;
  const RecordSet* Find(const OwnerIncarnation& owner) const;

  bool HasRoomFor(size_t records) const {
    return records_ + records <= limits_.MaxWithTakeovers();
  }
  size_t records() const { return records_; }
  size_t response_bytes() const { return response_bytes_; }
  const NodeId& self() const { return self_; }
  uint64_t incarnation() const { return incarnation_; }

 private:
  BeginDecision BeginNew(const OneTimeKey& key,
                         uint64_t request_digest,
                         TimePoint now,
                         RecordSet* set);
  // Returns the record if `attempt` is its last attempt and its state is not
  // final, otherwise null.
  Record* FindUnresolved(const OneTimeKey& key, uint32_t attempt);
  bool Finish(const OneTimeKey& key,
              uint32_t attempt,
              RecordState state,
              TimePoint now);

  const NodeId self_;
  const uint64_t incarnation_;
  const RecordLimits limits_;
  std::map<OwnerIncarnation, RecordSet> sets_;
  RecordSet* own_;
  bool draining_ = false;
  size_t records_ = 0;
  size_t response_bytes_ = 0;
  size_t dispatched_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_ONE_TIME_RECORDS_H_
