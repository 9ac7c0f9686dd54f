#include "net/link_handshake.h"

#include <optional>

#include <fmt/format.h>

#include "dragonflytack/base/hash.h"
#include "net/cbor.h"
#include "net/record_json.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

constexpr std::string_view kProtocol = "dragonflytack-link-1";
constexpr int kNonceBytes = 16;
constexpr size_t kNonceDigits = 32;

std::string_view RoleName(bool client) {
  return client ? "client" : "server";
}

bool HasString(const json& object, const char* name, std::string_view text) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() &&
         found->get_ref<const std::string&>() == text;
}

}  // namespace

LinkHandshake::LinkHandshake(bool is_client, std::string_view shared_key)
    : is_client_(is_client), shared_key_(shared_key) {}

std::string LinkHandshake::MakeHello(const NodeRecord& self) {
  own_id_ = self.id;
  NodeRecord presented = self;
  if (!self.rollout_shares.empty()) {
    // The shares of many services exceed kMaxMessageBytes. Without them the
    // record has an earlier revision, so that the peer still takes the complete
    // one from the link.
    presented.rollout_shares.clear();
    --presented.sequence;
  }
  own_hello_ = EncodeCbor({{"protocol", kProtocol},
                           {"role", RoleName(is_client_)},
                           {"nonce", RandomHex(kNonceBytes)},
                           {"record", RecordToJson(presented)}});
  return own_hello_;
}

bool LinkHandshake::ProcessHello(std::string_view message, Failure* reason) {
  const std::optional<json> hello = DecodeCbor(message, reason);
  if (!hello) {
    return false;
  }
  *reason = {FailureCode::kInvalidMessage, "hello", ""};
  if (!hello->is_object() || !HasString(*hello, "protocol", kProtocol)) {
    reason->detail =
        fmt::format("the peer does not use the protocol {}", kProtocol);
    return false;
  }
  if (!HasString(*hello, "role", RoleName(!is_client_))) {
    reason->detail = "the peer does not have the opposite role";
    return false;
  }
  const auto nonce = hello->find("nonce");
  if (nonce == hello->end() || !nonce->is_string() ||
      nonce->get_ref<const std::string&>().size() != kNonceDigits) {
    reason->detail = "the nonce is missing or does not have 32 characters";
    return false;
  }
  const auto record = hello->find("record");
  if (record == hello->end() || !record->is_object()) {
    reason->detail = "the record is missing";
    return false;
  }
  const std::optional<NodeRecord> peer = RecordFromJson(*record, reason);
  if (!peer) {
    return false;
  }
  if (peer->id == own_id_) {
    *reason = {FailureCode::kPeerRejected, peer->id,
               "the peer has this node's own id"};
    return false;
  }
  peer_ = *peer;
  peer_hello_ = message;
  return true;
}

std::string LinkHandshake::MakeProof() const {
  return EncodeCbor({{"proof", ComputeProof(is_client_)}});
}

bool LinkHandshake::VerifyProof(std::string_view message,
                                Failure* reason) const {
  const std::optional<json> proof = DecodeCbor(message, reason);
  if (!proof) {
    return false;
  }
  const auto found = proof->find("proof");
  if (!proof->is_object() || found == proof->end() || !found->is_string() ||
      !ConstantTimeEqual(found->get_ref<const std::string&>(),
                         ComputeProof(!is_client_))) {
    *reason = {FailureCode::kAuthentication, peer_.id,
               "the peer does not have the same shared key"};
    return false;
  }
  return true;
}

std::string LinkHandshake::ComputeProof(bool client) const {
  if (shared_key_.empty()) {
    return {};
  }
  const std::string& client_hello = is_client_ ? own_hello_ : peer_hello_;
  const std::string& server_hello = is_client_ ? peer_hello_ : own_hello_;
  return ToHex(
      HmacSha256(shared_key_,
                 fmt::format("{} {} {} {}{}", kProtocol, RoleName(client),
                             client_hello.size(), client_hello, server_hello)));
}

}  // namespace dragonflytack
