#ifndef DRAGONFLYTACK_ONETIME_HANDOVER_SENDER_H_
#define DRAGONFLYTACK_ONETIME_HANDOVER_SENDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/routing/node_location.h"
#include "onetime/handover_message.h"
#include "onetime/handover_reply.h"

namespace dragonflytack {

class OneTimeRecords;

// The stopping side of handovers: sends every set of records, chunk by chunk
// and then the commit, to the first of the candidates that takes it. This
// process answers nothing for a set from its first chunk on. Another candidate
// is tried only while none can have got the commit, or after one that got it
// answered that it did not take over.
class HandoverSender final {
 public:
  struct Outgoing {
    NodeLocation to;
    HandoverMessage message;
  };

  // `records` must outlive the sender and have no dispatch under way, or those
  // become unknown.
  HandoverSender(OneTimeRecords* records, std::vector<NodeLocation> candidates);

  // Returns the message to send now, nothing when all is done. The answer is
  // reported by OnReply(), a lost answer by OnNoReply().
  std::optional<Outgoing> Next(TimePoint now);
  void OnReply(HandoverReply reply, TimePoint now);
  void OnNoReply(TimePoint now);

  // Who answers, or may answer, for each home that was committed. All nodes are
  // told: a successor without the set answers "unknown".
  const std::map<OwnerIncarnation, NodeId>& handed() const { return handed_; }

 private:
  void BeginSet(TimePoint now);
  void EndSet(TimePoint now);
  void NextCandidate(TimePoint now);
  bool AtCommit() const { return chunk_ == chunks_.size(); }

  OneTimeRecords* const records_;
  const std::vector<NodeLocation> candidates_;
  std::vector<OwnerIncarnation> owners_;
  std::map<OwnerIncarnation, NodeId> handed_;
  // The set that is being sent.
  std::vector<std::vector<std::pair<RecordId, Record>>> chunks_;
  size_t chunk_ = 0;
  size_t candidate_ = 0;
  bool commit_sent_ = false;
  int lost_ = 0;
  int restarts_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_HANDOVER_SENDER_H_
