#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/routing/route_snapshot.h"
#include "onetime/attempt_guard.h"
#include "onetime/claim.h"
#include "onetime/claim_budget.h"
#include "onetime/claim_sweep.h"
#include "onetime/handover_message.h"
#include "onetime/handover_receiver.h"
#include "onetime/handover_sender.h"
#include "onetime/key_location.h"
#include "onetime/one_time_records.h"
#include "onetime/recorded_response.h"

namespace dragonflytack {

namespace {

using Kind = BeginDecision::Kind;
using Decision = AttemptGuard::Decision;

constexpr int64_t kWallMillis = 1'700'000'000'000;
constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr auto kLifetime = std::chrono::minutes(10);
constexpr std::string_view kSecret = "shared";

OneTimeRecords MakeOwner(const NodeId& id, RecordLimits limits = {}) {
  return OneTimeRecords(id, 5, kWallMillis, kStart, limits);
}

std::shared_ptr<const RecordedResponse> MakeResponse(const std::string& body) {
  return std::make_shared<const RecordedResponse>(
      RecordedResponse{200, {{"x-note", "caf\xe9"}}, body});
}

// Passes all messages of a handover through the codec.
void HandOver(HandoverSender* sender, HandoverReceiver* receiver) {
  while (auto outgoing = sender->Next(kStart)) {
    const std::string bytes = outgoing->message.Encode(kSecret);
    cr_assert(bytes.size() <= HandoverMessage::kMaxBytes);
    Failure reason;
    auto message = HandoverMessage::Decode(bytes, kSecret, &reason);
    cr_assert(message.has_value(), "%s", reason.ToString().c_str());
    sender->OnReply(receiver->OnMessage(std::move(*message), kStart), kStart);
  }
}

}  // namespace

// Regression test: an action ran twice when a caller that did not receive the
// response presented its key again, at another node, while the first call was
// in flight.
Test(onetime, repeated_key_gets_recorded_response) {
  OneTimeRecords owner = MakeOwner("kigali-1");
  const OneTimeKey key = owner.NewKey(kStart, kLifetime);
  cr_assert(owner.Begin(key, 7, kStart).kind == Kind::kDispatch);
  cr_assert(owner.Begin(key, 7, kStart).kind == Kind::kWait);
  cr_assert(owner.FinishDone(key, 1, MakeResponse("booked"), kStart));
  const BeginDecision again = owner.Begin(key, 7, kStart);
  cr_assert(again.kind == Kind::kDone && again.response->body == "booked");
  // Another request with the same key does not get this response.
  cr_assert(owner.Begin(key, 8, kStart).reason == BeginReason::kKeyReused);
}

// Regression test: an action ran twice because the successor dispatched it
// again after the node that had dispatched it stopped.
Test(onetime, successor_does_not_dispatch_recorded_calls_again) {
  OneTimeRecords owner = MakeOwner("rubavu-1");
  OneTimeRecords successor = MakeOwner("rubavu-2");
  const OneTimeKey paid = owner.NewKey(kStart, kLifetime);
  const OneTimeKey lost = owner.NewKey(kStart, kLifetime);
  const OneTimeKey fresh = owner.NewKey(kStart, kLifetime);
  owner.Begin(paid, 1, kStart);
  owner.FinishDone(paid, 1, MakeResponse(std::string("paid\0\xff", 6)), kStart);
  owner.Begin(lost, 2, kStart);
  std::vector<OwnerIncarnation> taken_over;
  HandoverReceiver receiver(&successor, [&](const OwnerIncarnation& from) {
    taken_over.push_back(from);
  });
  owner.BeginDrain();
  HandoverSender sender(&owner, {{.id = "rubavu-2", .incarnation = 5}});
  HandOver(&sender, &receiver);
  cr_assert((taken_over == std::vector{OwnerIncarnation("rubavu-1", 5)}));
  cr_assert(owner.Begin(fresh, 3, kStart).forward_to == "rubavu-2");
  const BeginDecision again = successor.Begin(paid, 1, kStart);
  cr_assert(again.kind == Kind::kDone &&
            *again.response == *MakeResponse(std::string("paid\0\xff", 6)));
  cr_assert(successor.Begin(lost, 2, kStart).kind == Kind::kUnknown);
  cr_assert(successor.Begin(fresh, 3, kStart).kind == Kind::kDispatch);
}

// Guards against forged, truncated or padded keys being accepted, and against a
// well-formed key of a node with another shared key being refused as not run.
Test(onetime, forged_and_malformed_keys_are_rejected) {
  const OneTimeKey key{"node.with-dots.1", 12, kWallMillis,
                       std::string(OneTimeKey::kIdDigits, 'a')};
  const std::string good = key.ToText(kSecret);
  Failure reason;
  cr_assert(OneTimeKey::Parse(good, kSecret, &reason) == key);
  std::string other_owner = good;
  other_owner[4] = 'm';
  const struct {
    std::string text;
    FailureCode code;
  } cases[] = {
      {"", FailureCode::kInvalidKey},
      {"dt1.", FailureCode::kInvalidKey},
      {good.substr(0, good.size() - 1), FailureCode::kInvalidKey},
      {good.substr(1), FailureCode::kInvalidKey},
      {good + "0", FailureCode::kInvalidKey},
      {good + ".", FailureCode::kInvalidKey},
      {" " + good, FailureCode::kInvalidKey},
      {"dt1." + std::string(200, 'a') + good, FailureCode::kInvalidKey},
      {"dt1.n.01.5." + key.id + "." + key.id, FailureCode::kInvalidKey},
      {"dt1.n.0.5." + key.id + "." + key.id, FailureCode::kInvalidKey},
      {"dt1.n.-1.5." + key.id + "." + key.id, FailureCode::kInvalidKey},
      {"dt1.n.1.9999999999999999999." + key.id + "." + key.id,
       FailureCode::kInvalidKey},
      {"dt1.N.1.5." + key.id + "." + key.id, FailureCode::kInvalidKey},
      {"dt1..1.5." + key.id + "." + key.id, FailureCode::kInvalidKey},
      {"dt1.n.1.5.A" + key.id.substr(1) + "." + key.id,
       FailureCode::kInvalidKey},
      {"dt1.n.1.5." + key.id + "." + key.id, FailureCode::kAuthentication},
      {other_owner, FailureCode::kAuthentication},
      {key.ToText("other"), FailureCode::kAuthentication},
  };
  for (const auto& item : cases) {
    cr_assert(!OneTimeKey::Parse(item.text, kSecret, &reason));
    cr_assert(reason.code == item.code, "%s: %s", item.text.c_str(),
              reason.ToString().c_str());
    // A damaged key of the mesh must not be accepted as a key that a caller
    // chose.
    cr_assert(!item.text.starts_with("dt1.") || !Claim::IsAllowed(item.text));
  }
  for (const char* text :
       {"1234567", "has space", "has\nline", "12345678\x7f"}) {
    cr_assert(!Claim::IsAllowed(text), "%s", text);
  }
  cr_assert(Claim::IsAllowed("booking-4711"));
  cr_assert(!Claim::IsAllowed(std::string(256, 'a')));
  cr_assert(Claim::ObjectName("a", "b-key") != Claim::ObjectName("a-b", "key"));
}

// Guards against an unlimited number of records, against records that are
// dropped before their key expires, and against a second execution after a
// record was dropped.
Test(onetime, records_are_bounded_and_kept_until_expiry) {
  OneTimeRecords owner = MakeOwner("n", {.max_records = 2,
                                         .max_response_bytes = 3'000,
                                         .max_one_response_bytes = 1'500});
  std::vector<OneTimeKey> keys;
  for (int i = 0; i < 5; ++i) {
    keys.push_back(owner.NewKey(kStart, kLifetime));
  }
  owner.Begin(keys[0], 1, kStart);
  owner.FinishDone(keys[0], 1, MakeResponse(std::string(2'000, 'x')), kStart);
  const BeginDecision large = owner.Begin(keys[0], 1, kStart);
  cr_assert(large.kind == Kind::kDone && large.response == nullptr &&
            large.reason == BeginReason::kResponseNotKept);
  cr_assert(owner.Begin(keys[1], 1, kStart).kind == Kind::kDispatch);
  // Full: refused permanently while the refusal can still be recorded.
  const BeginDecision full = owner.Begin(keys[2], 1, kStart);
  cr_assert(full.kind == Kind::kNotRun && full.scope == NotRunScope::kKey &&
            full.reason == BeginReason::kRecordsFull);
  cr_assert(owner.Begin(keys[3], 1, kStart).kind == Kind::kUnknown);
  // The record of a dispatch in flight is kept after its key has expired.
  const TimePoint later = kStart + 2 * kLifetime;
  owner.Sweep(later);
  cr_assert(owner.records() == 1 && owner.response_bytes() == 0);
  cr_assert(owner.Begin(keys[1], 1, later).kind == Kind::kWait);
  for (int i : {0, 2, 4}) {
    cr_assert(owner.Begin(keys[i], 1, later).reason == BeginReason::kExpired);
  }
  cr_assert(owner.FinishUnknown(keys[1], 1, later));
  cr_assert(owner.FinishDone(keys[1], 1, MakeResponse("late"), later));
  cr_assert(owner.Begin(keys[1], 1, later).response->body == "late");
}

// Guards against a result of an earlier attempt that finishes a later one.
Test(onetime, results_of_earlier_attempts_are_ignored) {
  OneTimeRecords owner = MakeOwner("n");
  const OneTimeKey key = owner.NewKey(kStart, kLifetime);
  owner.Begin(key, 1, kStart);
  cr_assert(owner.Retry(key, 1) == 2);
  cr_assert(!owner.FinishUnknown(key, 1, kStart) && !owner.Retry(key, 1));
  cr_assert(owner.FinishNotRun(key, 2, kStart));
  cr_assert(!owner.FinishDone(key, 2, MakeResponse(""), kStart));
  cr_assert(owner.Begin(key, 1, kStart).scope == NotRunScope::kKey);
  cr_assert(owner.dispatched() == 0);
}

// Guards against an attempt that was reported as not started and is started by
// a late copy, also after it left the window or the process was restarted.
Test(onetime, attempt_reported_not_started_is_never_started) {
  AttemptGuard guard(9);
  const auto id = [](uint64_t sequence) {
    return AttemptId{"home", 5, 9, sequence};
  };
  cr_assert(AttemptId::Parse(id(3).ToText()) == id(3));
  for (const char* text : {"", "h.1.2", "h.1.2.x", ".1.2.3", "h.0.2.3"}) {
    cr_assert(!AttemptId::Parse(text), "%s", text);
  }
  cr_assert(guard.RefuseUnlessSeen(id(1), kStart) == Decision::kNotStarted);
  cr_assert(guard.Admit(id(1), kStart) == Decision::kNotStarted);
  cr_assert(guard.Admit(id(2), kStart) == Decision::kStart);
  cr_assert(guard.RefuseUnlessSeen(id(2), kStart) == Decision::kAlreadyStarted);
  guard.Withdraw(id(2));
  cr_assert(guard.Admit(id(2), kStart) == Decision::kNotStarted);
  cr_assert(guard.Admit(id(2 + AttemptGuard::kWindowSize), kStart) ==
            Decision::kStart);
  for (uint64_t late : {1, 2}) {
    cr_assert(guard.Admit(id(late), kStart) == Decision::kTooOld);
  }
  cr_assert(guard.Admit(id(3), kStart) == Decision::kStart);
  cr_assert(guard.Admit({"home", 5, 8, 400}, kStart) == Decision::kTooOld);
  cr_assert(guard.Admit(id(UINT64_MAX), kStart) == Decision::kTooOld);
}

// Guards against records being installed from handover messages that were
// modified or are addressed to another process.
Test(onetime, handover_rejects_modified_and_misaddressed_messages) {
  OneTimeRecords owner = MakeOwner("n");
  HandoverReceiver receiver(&owner, [](const OwnerIncarnation&) {
    cr_assert(false, "no records may be taken over");
  });
  HandoverMessage message{.kind = HandoverMessage::Kind::kCommit,
                          .from = {"m", 1},
                          .to = {"n", 4},
                          .owner = {"m", 1}};
  const std::string bytes = message.Encode(kSecret);
  Failure reason;
  for (size_t i = 0; i < bytes.size(); ++i) {
    std::string changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    cr_assert(!HandoverMessage::Decode(changed, kSecret, &reason));
    cr_assert(!HandoverMessage::Decode(bytes.substr(0, i), kSecret, &reason));
  }
  cr_assert(receiver.OnMessage(message, kStart) ==
            HandoverReply::kWrongProcess);
  message.to = {"n", 5};
  message.index = 1;
  cr_assert(receiver.OnMessage(message, kStart) == HandoverReply::kIncomplete);
  // Two stopping processes must not give their records to each other.
  owner.BeginDrain();
  cr_assert(receiver.OnMessage(message, kStart) == HandoverReply::kDraining);
}

// Guards against staged records that stay counted after their transfer was
// dropped because another sender's commit arrived first.
Test(onetime, superseded_handover_releases_its_staged_records) {
  OneTimeRecords owner = MakeOwner("n", {.max_records = 4});
  HandoverReceiver receiver(&owner, [](const OwnerIncarnation&) {});
  const auto message = [](HandoverMessage::Kind kind, const NodeId& from,
                          uint64_t incarnation) {
    return HandoverMessage{.kind = kind,
                           .from = {from, incarnation},
                           .to = {"n", 5},
                           .owner = {"m", incarnation}};
  };
  for (uint64_t i = 1; i <= 10; ++i) {
    HandoverMessage chunk = message(HandoverMessage::Kind::kChunk, "m", i);
    chunk.records = {{RecordId{}, Record{}}};
    cr_assert(receiver.OnMessage(chunk, kStart) == HandoverReply::kAccepted,
              "transfer %lu", i);
    // Another node already took over the records and stops as well.
    cr_assert(receiver.OnMessage(
                  message(HandoverMessage::Kind::kCommit, "x", i), kStart) ==
              HandoverReply::kAccepted);
    cr_assert(receiver.OnMessage(chunk, kStart) == HandoverReply::kDraining);
  }
}

// Guards against two successors of one owner: after a commit was sent, it may
// be sent again only to the same receiver.
Test(onetime, handover_stays_with_the_receiver_of_a_commit) {
  const std::vector<NodeLocation> candidates = {{.id = "a", .incarnation = 1},
                                                {.id = "b", .incarnation = 1}};
  const struct {
    int sent;  // Messages accepted by a: one chunk, then the commit.
    HandoverReply reply;
    NodeId next;
  } cases[] = {{0, HandoverReply::kFull, "b"},
               {0, HandoverReply::kDraining, "b"},
               {0, HandoverReply::kWrongProcess, "b"},
               {1, HandoverReply::kFull, "a"},
               {1, HandoverReply::kIncomplete, "a"},
               {1, HandoverReply::kDraining, "b"}};
  for (const auto& item : cases) {
    OneTimeRecords owner = MakeOwner("n");
    owner.Begin(owner.NewKey(kStart, kLifetime), 1, kStart);
    HandoverSender sender(&owner, candidates);
    for (int i = 0; i < item.sent; ++i) {
      sender.Next(kStart);
      sender.OnReply(HandoverReply::kAccepted, kStart);
    }
    sender.Next(kStart);
    sender.OnReply(item.reply, kStart);
    cr_assert(sender.Next(kStart)->to.id == item.next);
  }
}

// Guards against keys of a crashed process being served by the restarted
// process, and against an endless search in a loop of successors.
Test(onetime, key_location_after_restarts_and_handovers) {
  const OneTimeRecords self = MakeOwner("self");
  RouteSnapshot routes;
  routes.nodes =
      std::make_shared<const std::unordered_map<NodeId, NodeLocation>>(
          std::unordered_map<NodeId, NodeLocation>{
              {"self", {.id = "self", .incarnation = 5}},
              {"up", {.id = "up", .incarnation = 3}},
              {"dead",
               {.id = "dead", .incarnation = 3, .liveness = Liveness::kDead}}});
  routes.successors =
      std::make_shared<const std::map<OwnerIncarnation, NodeId>>(
          std::map<OwnerIncarnation, NodeId>{{{"up", 1}, "dead"},
                                             {{"dead", 3}, "up"},
                                             {{"loop", 1}, "pool"},
                                             {{"pool", 1}, "loop"},
                                             {{"own", 1}, "self"}});
  const struct {
    OwnerIncarnation owner;
    KeyLocation::Kind kind;
    NodeId node;
  } cases[] = {
      {{"self", 5}, KeyLocation::Kind::kLocal, ""},
      {{"self", 4}, KeyLocation::Kind::kLost, ""},
      {{"up", 3}, KeyLocation::Kind::kRemote, "up"},
      {{"up", 9}, KeyLocation::Kind::kRemote, "up"},  // Newer than snapshot.
      {{"up", 2}, KeyLocation::Kind::kLost, ""},      // Restarted.
      {{"up", 1}, KeyLocation::Kind::kRemote, "up"},  // Through "dead".
      {{"dead", 3}, KeyLocation::Kind::kRemote, "up"},
      {{"loop", 1}, KeyLocation::Kind::kLost, ""},
      {{"own", 1}, KeyLocation::Kind::kLost, ""},
      {{"gone", 1}, KeyLocation::Kind::kLost, ""},
  };
  for (const auto& item : cases) {
    const KeyLocation found = KeyLocation::Find(item.owner, routes, self);
    cr_assert(found.kind == item.kind && found.node.id == item.node, "%s/%d",
              item.owner.first.c_str(), static_cast<int>(item.owner.second));
  }
}

// Guards against a fleet that overloads the store with claims, and against a
// sweep that deletes claims whose keys may still be presented.
Test(onetime, claim_budget_limits_writes_and_sweep_keeps_recent_claims) {
  ClaimBudget budget(kStart);
  budget.SetNodes(100);
  int taken = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    taken += budget.TryTake(kStart + Milliseconds(ms)) ? 1 : 0;
  }
  cr_assert(taken >= 20 && taken <= 22, "%d", taken);
  ClaimSweep sweep{std::string(kSecret)};
  const auto object = [](const std::string& name, int64_t expiry_ms) {
    const OneTimeKey key{"n", 1, expiry_ms, std::string(32, 'a')};
    return StoreObject{name, Claim(name, key, std::string(kSecret)).value(), 1};
  };
  const std::vector<StoreObject> page = {
      object("claims/1", kWallMillis - ClaimSweep::kClockSkewMarginMs - 1),
      object("claims/2", kWallMillis - ClaimSweep::kClockSkewMarginMs),
      {"claims/3", "unreadable", 1}};
  cr_assert(sweep.OnPage(page, kWallMillis) == std::vector{page[0]});
  cr_assert(sweep.start_after().empty());
}

}  // namespace dragonflytack
