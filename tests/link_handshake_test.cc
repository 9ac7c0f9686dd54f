#include "net/link_handshake.h"

#include <functional>
#include <string>

#include <criterion/criterion.h>

#include "distribution/message_codec.h"
#include "net/cbor.h"

namespace dragonflytack {

namespace {

constexpr char kKey[] = "0123456789abcdef";

NodeRecord Record(const std::string& id) {
  NodeRecord record;
  record.id = id;
  record.incarnation = NodeRecord::kMaxNumber;
  record.region = "r";
  record.data_centre = "d";
  record.address = "127.0.0.1";
  record.state = TargetState::kDraining;
  record.warming_since_ms = 5;
  record.slots = 7;
  return record;
}

// Both ends after the exchange of their hellos.
struct Pair {
  LinkHandshake client{true, kKey};
  LinkHandshake server{false, kKey};
  std::string client_hello = client.MakeHello(Record("a"));
  std::string server_hello = server.MakeHello(Record("b"));
  Failure reason;
  bool greeted = client.TakeHello(server_hello, &reason) &&
                 server.TakeHello(client_hello, &reason);
};

}  // namespace

// Guards against records that lose a field on their way, and proofs that honest
// ends refuse.
Test(link_handshake, honest_ends_accept_each_other) {
  Pair pair;
  cr_assert(pair.greeted, "%s", pair.reason.ToString().c_str());
  cr_assert(pair.client.peer() == Record("b"));
  cr_assert(pair.server.peer() == Record("a"));
  cr_assert(pair.client.TakeProof(pair.server.MakeProof(), &pair.reason));
  cr_assert(pair.server.TakeProof(pair.client.MakeProof(), &pair.reason));
}

// Guards against an attacker without the key who repeats what honest nodes
// sent, and against one in the middle who changes a record.
Test(link_handshake, refuses_replayed_reflected_and_altered_messages) {
  Pair old;
  Pair fresh;
  // An attacker repeats the old client's messages to a server.
  LinkHandshake server(false, kKey);
  server.MakeHello(Record("b"));
  Failure reason;
  cr_assert(server.TakeHello(old.client_hello, &reason));
  cr_expect(!server.TakeProof(old.client.MakeProof(), &reason));
  cr_expect(reason.code == FailureCode::kAuthentication);
  // The own messages come back.
  cr_expect(!fresh.client.TakeProof(fresh.client.MakeProof(), &reason));
  cr_expect(
      !LinkHandshake(fresh.client).TakeHello(fresh.client_hello, &reason));
  // The record in a hello is changed on the way.
  auto hello = *DecodeCbor(fresh.client_hello, &reason);
  hello["record"]["address"] = "127.0.0.2";
  cr_assert(fresh.server.TakeHello(EncodeCbor(hello), &reason));
  cr_expect(!fresh.server.TakeProof(fresh.client.MakeProof(), &reason));
}

// Guards against hellos that are accepted with a part missing or of another
// type.
Test(link_handshake, refuses_malformed_hellos) {
  using Change = std::function<void(nlohmann::json*)>;
  const Change changes[] = {
      [](auto* hello) { *hello = 5; },
      [](auto* hello) { hello->erase("protocol"); },
      [](auto* hello) { (*hello)["protocol"] = "dragonflytack-link-2"; },
      [](auto* hello) { (*hello)["role"] = "server"; },
      [](auto* hello) { (*hello)["nonce"] = "00"; },
      [](auto* hello) { (*hello)["nonce"] = 7; },
      [](auto* hello) { (*hello)["record"] = nullptr; },
      [](auto* hello) { (*hello)["record"].erase("slots"); },
      [](auto* hello) { (*hello)["record"]["id"] = ""; },
      [](auto* hello) { (*hello)["record"]["id"] = "b"; },
      [](auto* hello) { (*hello)["record"]["id"] = std::string(64, 'a'); },
      [](auto* hello) { (*hello)["record"]["state"] = "asleep"; },
      [](auto* hello) { (*hello)["record"]["peer_port"] = 65536; },
      [](auto* hello) { (*hello)["record"]["sequence"] = -1; },
      [](auto* hello) { (*hello)["record"]["sequence"] = 1.5; },
  };
  int number = 0;
  for (const Change& change : changes) {
    Pair pair;
    auto hello = *DecodeCbor(pair.client_hello, &pair.reason);
    change(&hello);
    cr_expect(!pair.server.TakeHello(EncodeCbor(hello), &pair.reason), "%d",
              number);
    cr_expect(pair.reason.code == FailureCode::kInvalidMessage ||
                  pair.reason.code == FailureCode::kPeerRejected,
              "%d", number);
    ++number;
  }
}

// Guards against a record that a handshake lets in and the codec of link frames
// refuses: it is passed on to the fleet, and each receiver closes its link.
Test(link_handshake, accepts_only_records_that_can_be_passed_on) {
  struct Case {
    const char* field;
    nlohmann::json good;
    nlohmann::json bad;
  };
  const uint64_t most = NodeRecord::kMaxNumber;
  const Case cases[] = {{"incarnation", most, most + 1},
                        {"incarnation", 0, UINT64_MAX},
                        {"sequence", most, most + 1},
                        {"warming_since_ms", most, most + 1},
                        {"warming_since_ms", 0, INT64_MAX},
                        {"slots", NodeRecord::kMaxSlots, 1'000'001},
                        {"region", std::string(63, 'r'), ""},
                        {"data_centre", "d", ""},
                        {"address", "::1", ""}};
  for (const Case& item : cases) {
    Pair pair;
    Failure reason;
    auto hello = *DecodeCbor(pair.client_hello, &reason);
    hello["record"][item.field] = item.good;
    cr_assert(pair.server.TakeHello(EncodeCbor(hello), &reason), "%s: %s",
              item.field, reason.ToString().c_str());
    const Message message = RecordsMessage{{{pair.server.peer()}}, {}};
    const auto passed_on =
        MessageCodec::Decode(MessageCodec::Encode(message), &reason);
    cr_assert(passed_on && *passed_on == message, "%s", item.field);
    hello["record"][item.field] = item.bad;
    cr_expect_not(pair.server.TakeHello(EncodeCbor(hello), &reason), "%s",
                  item.field);
  }
  // The two ends of the range of times together.
  NodeRecord record = Record("a");
  record.incarnation = 0;
  record.warming_since_ms = static_cast<int64_t>(most);
  const Message message = RecordsMessage{{{record}}, {}};
  Failure reason;
  const auto decoded =
      MessageCodec::Decode(MessageCodec::Encode(message), &reason);
  cr_expect(decoded && *decoded == message);
}

}  // namespace dragonflytack
