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

// Sends every record set of a stopping process, chunk by chunk and then the
// commit, to the first candidate that accepts it. From the first chunk of a set
// on, this process makes no more decisions for its keys. The next candidate is
// used only if the commit has not been sent, or if the candidate that received
// it replied that it did not take over the records.
class HandoverSender final {
 public:
  struct Outgoing {
    NodeLocation to;
    HandoverMessage message;
  };

  // `records` must outlive the sender. Calls still dispatched become unknown
  // when their set is handed over.
  HandoverSender(OneTimeRecords* records, std::vector<NodeLocation> candidates);

  // Returns the message to send now, or std::nullopt if no message is left to
  // send. Its reply is reported by OnReply(), a lost reply by OnNoReply().
  std::optional<Outgoing> Next(TimePoint now);
  void OnReply(HandoverReply reply, TimePoint now);
  void OnNoReply(TimePoint now);

  // Returns, for each owner whose commit was sent, the node that has taken over
  // its records or may have done so. This is published to all nodes: a node
  // without the records responds "unknown" to the calls forwarded to it.
  const std::map<OwnerIncarnation, NodeId>& committed_to() const {
    return committed_to_;
  }

 private:
  void BeginSet(TimePoint now);
  void EndSet(TimePoint now);
  void NextCandidate(TimePoint now);
  bool AtCommit() const { return chunk_ == chunks_.size(); }

  OneTimeRecords* const records_;
  const std::vector<NodeLocation> candidates_;
  std::vector<OwnerIncarnation> owners_;
  std::map<OwnerIncarnation, NodeId> committed_to_;
  // The chunks of the set that is being sent.
  std::vector<std::vector<std::pair<RecordId, Record>>> chunks_;
  size_t chunk_ = 0;
  size_t candidate_ = 0;
  bool commit_sent_ = false;
  int lost_replies_ = 0;
  int restarts_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_HANDOVER_SENDER_H_
