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

// The one-time records that this process answers for: those of its own keys and
// those it took over from processes that stopped. The absence of a record
// proves that nothing was dispatched for an unexpired key, because a record is
// made before the first dispatch and kept at least until the key expires.
class OneTimeRecords final {
 public:
  // `wall_ms` is the wall clock at `now`; later times follow `now` alone.
  OneTimeRecords(NodeId self,
                 uint64_t incarnation,
                 int64_t wall_ms,
                 TimePoint now,
                 RecordLimits limits);
  OneTimeRecords(const OneTimeRecords&) = delete;
  OneTimeRecords& operator=(const OneTimeRecords&) = delete;

  // Issues a key of this process.
  OneTimeKey NewKey(TimePoint now, Milliseconds lifetime) const;

  // Decides about a call. `request` is a digest of service, method, path and
  // body: a key serves only the request that it was first used for.
  BeginDecision Begin(const OneTimeKey& key, uint64_t request, TimePoint now);

  // The results of a dispatch. They return false, and change nothing, when the
  // record has ended otherwise, has another attempt, or was handed over.
  // Done and NotStarted also settle a record in kUnknown.
  bool FinishDone(const OneTimeKey& key,
                  uint32_t attempt,
                  std::shared_ptr<const RecordedResponse> response,
                  TimePoint now);
  // The node beside the target promised that the attempt did not start and
  // never will. No more attempts follow; the refusal is final for the key,
  // because a late copy of an earlier call could not be told from a new one.
  bool FinishNotRun(const OneTimeKey& key, uint32_t attempt, TimePoint now);
  bool FinishUnknown(const OneTimeKey& key, uint32_t attempt, TimePoint now);
  // As FinishNotRun(), but the call is to be dispatched again. Returns the new
  // attempt.
  std::optional<uint32_t> Retry(const OneTimeKey& key, uint32_t attempt);

  // Returns what a call that waited for `key` is answered after its end.
  BeginDecision Recorded(const OneTimeKey& key);

  // Releases what has expired, with a bounded amount of work.
  void Sweep(TimePoint now);

  // From now on calls without a record are refused; known ones go on.
  void BeginDrain() { draining_ = true; }
  bool draining() const { return draining_; }
  size_t dispatched() const { return dispatched_; }

  // Ends all answers for one set: calls are forwarded to `successor` from now
  // on. Dispatches still under way become unknown. May be repeated with
  // another successor, see HandoverSender.
  void HandTo(const OwnerIncarnation& owner,
              const NodeId& successor,
              TimePoint now);

  // Takes over the complete records of another process. Returns false when this
  // process has had them already.
  bool Install(const OwnerIncarnation& owner, RecordSet set);

  // Whether this process holds, or held and handed on, the records of `owner`.
  bool Knows(const OwnerIncarnation& owner) const {
    return sets_.contains(owner);
  }
  // All homes whose records this process answers for.
  std::vector<OwnerIncarnation> Serving() const;
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
                         uint64_t request,
                         TimePoint now,
                         RecordSet* set);
  // Returns the record if `attempt` is its last one and may still be settled.
  Record* FindOpen(const OneTimeKey& key, uint32_t attempt);
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
