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

// Both nodes of a link after the exchange of hellos.
struct HandshakePair {
  LinkHandshake client{true, kKey};
  LinkHandshake server{false, kKey};
  std::string client_hello = client.MakeHello(Record("a"));
  std::string server_hello = server.MakeHello(Record("b"));
  Failure reason;
  bool hellos_accepted = client.ProcessHello(server_hello, &reason) &&
                         server.ProcessHello(client_hello, &reason);
};

}  // namespace

// Guards against records that lose a field in the handshake, and valid proofs
// that are rejected.
Test(link_handshake, nodes_with_equal_keys_accept_each_other) {
  HandshakePair pair;
  cr_assert(pair.hellos_accepted, "%s", pair.reason.ToString().c_str());
  cr_assert(pair.client.peer() == Record("b"));
  cr_assert(pair.server.peer() == Record("a"));
  cr_assert(pair.client.VerifyProof(pair.server.MakeProof(), &pair.reason));
  cr_assert(pair.server.VerifyProof(pair.client.MakeProof(), &pair.reason));
}

// Guards against an attacker without the key who replays or reflects messages
// of other nodes, or modifies a record in transit.
Test(link_handshake, rejects_replayed_reflected_and_modified_messages) {
  HandshakePair recorded;
  HandshakePair current;
  // Replay: an attacker sends a recorded client's messages to a server.
  LinkHandshake server(false, kKey);
  server.MakeHello(Record("b"));
  Failure reason;
  cr_assert(server.ProcessHello(recorded.client_hello, &reason));
  cr_expect(!server.VerifyProof(recorded.client.MakeProof(), &reason));
  cr_expect(reason.code == FailureCode::kAuthentication);
  // Reflection: a node receives its own messages.
  cr_expect(!current.client.VerifyProof(current.client.MakeProof(), &reason));
  cr_expect(!LinkHandshake(current.client)
                 .ProcessHello(current.client_hello, &reason));
  // Modification: the record in a hello is changed in transit.
  auto hello = *DecodeCbor(current.client_hello, &reason);
  hello["record"]["address"] = "127.0.0.2";
  cr_assert(current.server.ProcessHello(EncodeCbor(hello), &reason));
  cr_expect(!current.server.VerifyProof(current.client.MakeProof(), &reason));
}

// Guards against hellos that are accepted with a field missing or invalid.
Test(link_handshake, rejects_malformed_hellos) {
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
    HandshakePair pair;
    auto hello = *DecodeCbor(pair.client_hello, &pair.reason);
    change(&hello);
    cr_expect(!pair.server.ProcessHello(EncodeCbor(hello), &pair.reason), "%d",
              number);
    cr_expect(pair.reason.code == FailureCode::kInvalidMessage ||
                  pair.reason.code == FailureCode::kPeerRejected,
              "%d", number);
    ++number;
  }
}

// Guards against a record that the handshake accepts but the codec of link
// frames rejects: it would be sent on to other nodes, and each receiver would
// close its link.
Test(link_handshake, accepts_only_records_that_frame_codec_accepts) {
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
    HandshakePair pair;
    Failure reason;
    auto hello = *DecodeCbor(pair.client_hello, &reason);
    hello["record"][item.field] = item.good;
    cr_assert(pair.server.ProcessHello(EncodeCbor(hello), &reason), "%s: %s",
              item.field, reason.ToString().c_str());
    const Message message = RecordsMessage{{{pair.server.peer()}}, {}};
    const auto passed_on =
        MessageCodec::Decode(MessageCodec::Encode(message), &reason);
    cr_assert(passed_on && *passed_on == message, "%s", item.field);
    hello["record"][item.field] = item.bad;
    cr_expect_not(pair.server.ProcessHello(EncodeCbor(hello), &reason), "%s",
                  item.field);
  }
  // The smallest incarnation with the largest time.
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
