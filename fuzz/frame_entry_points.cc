#include <cstdint>
#include <optional>
#include <utility>

#include "distribution/cbor_reader.h"
#include "distribution/message_codec.h"
#include "distribution/record_codec.h"
#include "dragonflytack/base/hash.h"
#include "fuzz/entry_point.h"
#include "fuzz/round_trip.h"
#include "net/cbor.h"
#include "net/link_handshake.h"
#include "net/record_json.h"
#include "onetime/handover_message.h"
#include "onetime/recorded_response.h"

// Entry points for binary inputs: frames of links, handshakes and handovers.
namespace dragonflytack {

namespace {

using nlohmann::json;

constexpr char kSharedKey[] = "0123456789abcdef";

NodeRecord SmallRecord() {
  return NodeRecord{"a-1",
                    1'700'000'000'000,
                    3,
                    "north",
                    "north1",
                    "10.0.0.1",
                    1,
                    2,
                    3,
                    "sv",
                    TargetState::kWarming,
                    1'700'000'000'500,
                    4,
                    "b"};
}

RecordsMessage SmallRecords() {
  return {{{SmallRecord(), Liveness::kDead, 17},
           {{"x", 1, 1, "r", "d", "1.1.1.1"}}},
          {{{"a", 1, "b", 2}, 3}}};
}

std::vector<std::string> MessageSeeds() {
  ServiceRow row;
  row.service = "roster";
  row.weights = {{"north", 3}, {"south", 0}};
  RouteRow route;
  route.name = "r";
  route.host = "h.example";
  route.prefix = "/";
  route.shares = {{"roster", 1}};
  route.is_public = true;
  AccountRow account{"a", {*KeyDigest::OfKey("1"), *KeyDigest::OfKey("2")}};
  account.rank = 3;
  account.rate_limit = 300;
  account.burst = 20;
  TableDelta delta{1, 2, {row}, {"gone"}, 99};
  delta.changed_routes = {route};
  delta.changed_accounts = {account, AccountRow{"b"}};
  delta.removed_accounts = {"c"};
  BucketsMessage buckets;
  buckets.buckets[7] = UINT64_MAX;
  const std::vector<Message> messages = {
      HelloMessage{true, 1, 2, 3, 4, 5, 6},
      HeartbeatMessage{true, 9, {1, UINT64_MAX}},
      HeartbeatMessage{true, 9, {1, 2}, StoreWatchState::kFailing},
      SmallRecords(),
      SuspicionsMessage{{{"a", 1, 2}, {"b", 3, 4}}},
      DeltaMessage{{1, 2, {row}, {"gone"}, 99}},
      DeltaMessage{delta},
      HeldVersionMessage{7},
      TableRequestMessage{true, 8},
      TableMessage{3, 4, {{"roster", row}}},
      TableMessage{3,
                   4,
                   {{"roster", row}},
                   {{"r", route}},
                   {{"a", account}, {"b", AccountRow{"b"}}}},
      SnapshotRequestMessage{},
      SnapshotEndMessage{},
      SnapshotReceivedMessage{},
      SnapshotBusyMessage{500, {{"127.0.0.1", 80}}},
      buckets,
      BucketHashesMessage{{{3, {1, 2}}, {255, {}}}},
      EntryRequestMessage{{1, 2, 3}}};
  std::vector<std::string> seeds;
  for (const Message& message : messages) {
    seeds.push_back(MessageCodec::Encode(message));
  }
  return seeds;
}

std::string CheckMessage(const std::string& input) {
  return CheckRoundTrip(
      input, IsOneOf<FailureCode::kInvalidMessage, FailureCode::kTooLarge>,
      MessageCodec::Decode, MessageCodec::Encode);
}

std::string EncodeRecords(const RecordsMessage& message) {
  json array = json::array();
  RecordCodec::Append(message, &array);
  return EncodeCbor(array);
}

std::optional<RecordsMessage> DecodeRecords(const std::string& input,
                                            Failure* reason) {
  const std::optional<json> array =
      DecodeCbor(input, reason, MessageCodec::kMaxDepth);
  if (!array) {
    return std::nullopt;
  }
  CborReader reader(*array);
  RecordsMessage message = RecordCodec::Read(&reader);
  if (!reader.Finished()) {
    *reason = {FailureCode::kInvalidMessage, "records", "refused"};
    return std::nullopt;
  }
  return message;
}

std::vector<std::string> RecordSeeds() {
  RecordsMessage plain = SmallRecords();
  plain.successions.clear();
  return {EncodeRecords(SmallRecords()), EncodeRecords(plain)};
}

std::string CheckRecords(const std::string& input) {
  return CheckRoundTrip(input, IsOneOf<FailureCode::kInvalidMessage>,
                        DecodeRecords, EncodeRecords);
}

// LinkHandshake::MakeHello() uses a random nonce; a fixed one keeps the seeds
// the same in every run.
std::string EncodeHello(const NodeRecord& record) {
  return EncodeCbor({{"protocol", "dragonflytack-link-1"},
                     {"role", "client"},
                     {"nonce", std::string(32, '0')},
                     {"record", RecordToJson(record)}});
}

std::optional<NodeRecord> DecodeHello(const std::string& input,
                                      Failure* reason) {
  LinkHandshake server(false, kSharedKey);
  NodeRecord self = SmallRecord();
  self.id = "self";
  server.MakeHello(self);
  if (!server.ProcessHello(input, reason)) {
    return std::nullopt;
  }
  return server.peer();
}

std::vector<std::string> HelloSeeds() {
  return {EncodeHello(SmallRecord()),
          EncodeHello({"x", 1, 1, "r", "d", "1.1.1.1"})};
}

// A record that a handshake accepts is forwarded to the whole fleet. A node
// that receives a frame that the codec refuses closes the link to its sender,
// so the codec must accept every such record.
std::string CheckHello(const std::string& input) {
  Failure reason;
  if (const std::optional<NodeRecord> peer = DecodeHello(input, &reason)) {
    const Message message = RecordsMessage{{{*peer}}, {}};
    const std::optional<Message> forwarded =
        MessageCodec::Decode(MessageCodec::Encode(message), &reason);
    if (!forwarded || *forwarded != message) {
      return "the record cannot be forwarded to other nodes";
    }
  }
  return CheckRoundTrip(
      input, IsOneOf<FailureCode::kInvalidMessage, FailureCode::kPeerRejected>,
      DecodeHello, EncodeHello);
}

std::vector<std::string> ProofSeeds() {
  return {EncodeCbor({{"proof", std::string(64, '0')}}),
          EncodeCbor({{"proof", ""}})};
}

// A valid proof depends on the random nonce of the server, so every fixed input
// must be refused.
std::string CheckProof(const std::string& input) {
  LinkHandshake server(false, kSharedKey);
  NodeRecord self = SmallRecord();
  self.id = "self";
  server.MakeHello(self);
  Failure reason;
  if (!server.ProcessHello(EncodeHello(SmallRecord()), &reason)) {
    return "a valid hello is refused";
  }
  reason = {};
  if (server.VerifyProof(input, &reason)) {
    return "a proof without the key is accepted";
  }
  return IsOneOf<FailureCode::kInvalidMessage, FailureCode::kAuthentication>(
             reason.code)
             ? ""
             : "refused without a typed failure";
}

// A handover message whose recorded responses are compared by value.
struct ComparableHandover final {
  HandoverMessage message;

  friend bool operator==(const ComparableHandover& left,
                         const ComparableHandover& right) {
    const HandoverMessage& a = left.message;
    const HandoverMessage& b = right.message;
    if (std::tie(a.kind, a.from, a.to, a.owner, a.index, a.time_ms) !=
            std::tie(b.kind, b.from, b.to, b.owner, b.index, b.time_ms) ||
        a.records.size() != b.records.size()) {
      return false;
    }
    for (size_t i = 0; i < a.records.size(); ++i) {
      const Record& x = a.records[i].second;
      const Record& y = b.records[i].second;
      if (!(a.records[i].first == b.records[i].first) ||
          std::tie(x.state, x.attempt, x.request_digest, x.expiry_ms,
                   x.finished_ms) != std::tie(y.state, y.attempt,
                                              y.request_digest, y.expiry_ms,
                                              y.finished_ms) ||
          (x.response == nullptr) != (y.response == nullptr) ||
          (x.response != nullptr && !(*x.response == *y.response))) {
        return false;
      }
    }
    return true;
  }
};

constexpr size_t kAuthenticationCodeBytes = 32;

// Inputs are the bodies that follow the authentication code: a mutated message
// with its old code would never reach the parser.
std::optional<ComparableHandover> DecodeHandover(const std::string& body,
                                                 Failure* reason) {
  std::string bytes =
      HmacSha256(kSharedKey, "dragonflytack handover 1\n" + body);
  bytes += body;
  std::optional<HandoverMessage> message =
      HandoverMessage::Decode(bytes, kSharedKey, reason);
  if (!message) {
    return std::nullopt;
  }
  return ComparableHandover{*std::move(message)};
}

std::string EncodeHandover(const ComparableHandover& handover) {
  return handover.message.Encode(kSharedKey).substr(kAuthenticationCodeBytes);
}

std::vector<std::string> HandoverSeeds() {
  Record done{.state = RecordState::kDone,
              .attempt = 2,
              .request_digest = UINT64_MAX,
              .expiry_ms = 1'700'000'000'000,
              .finished_ms = 1'700'000'000'001};
  done.response = std::make_shared<const RecordedResponse>(
      RecordedResponse{200, {{"x-note", "caf\xe9"}}, "paid"});
  HandoverMessage chunk{.from = {"a", 1}, .to = {"b", 2}, .owner = {"a", 1}};
  chunk.records = {{RecordId{1, UINT64_MAX}, done},
                   {RecordId{3, 4}, Record{.state = RecordState::kNotRun}}};
  HandoverMessage commit{.kind = HandoverMessage::Kind::kCommit,
                         .from = {"a", 1},
                         .to = {"b", 2},
                         .owner = {"a", 1},
                         .index = 1,
                         .time_ms = 1'700'000'000'002};
  return {EncodeHandover({chunk}), EncodeHandover({commit})};
}

std::string CheckHandover(const std::string& input) {
  Failure reason;
  if (HandoverMessage::Decode(input, kSharedKey, &reason) ||
      !IsOneOf<FailureCode::kAuthentication, FailureCode::kTooLarge>(
          reason.code)) {
    return "a message without its authentication code is not refused";
  }
  return CheckRoundTrip(
      input, IsOneOf<FailureCode::kInvalidMessage, FailureCode::kTooLarge>,
      DecodeHandover, EncodeHandover);
}

}  // namespace

std::vector<EntryPoint> FrameEntryPoints() {
  return {{"message", MessageSeeds, CheckMessage},
          {"records", RecordSeeds, CheckRecords},
          {"hello", HelloSeeds, CheckHello},
          {"proof", ProofSeeds, CheckProof, /*accepts_seeds=*/false},
          {"handover", HandoverSeeds, CheckHandover}};
}

}  // namespace dragonflytack
