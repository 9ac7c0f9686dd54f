#ifndef DRAGONFLYTACK_NET_LINK_HANDSHAKE_H_
#define DRAGONFLYTACK_NET_LINK_HANDSHAKE_H_

#include <string>
#include <string_view>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/registry/node_record.h"

namespace dragonflytack {

// Mutual authentication of the two nodes of a link. Each node sends a hello
// with its role, its record and a random nonce, then a proof: the HMAC-SHA256
// with the shared key over the sender's role and both hellos. The nonces
// prevent replay attacks; the roles prevent reflection, where a node receives
// its own proof back.
class LinkHandshake final {
 public:
  // Largest size of a handshake message.
  static constexpr size_t kMaxMessageBytes = 4096;

  // The node that opened the connection has the role "client". An empty key
  // authenticates nobody; the caller must then restrict the peers that it
  // accepts.
  LinkHandshake(bool is_client, std::string_view shared_key);

  // Returns this node's hello with a new nonce.
  std::string MakeHello(const NodeRecord& self);

  // Checks and stores the peer's hello. Returns false, with kInvalidMessage if
  // it is malformed, or kPeerRejected if it has this node's own id.
  bool ProcessHello(std::string_view message, Failure* reason);

  // Returns this node's proof. MakeHello() and ProcessHello() must have
  // succeeded before.
  std::string MakeProof() const;

  // Checks the peer's proof. Returns false, with kAuthentication, if the peer
  // does not have the same key, or with kInvalidMessage if the message is not
  // valid CBOR.
  bool VerifyProof(std::string_view message, Failure* reason) const;

  // The record in the peer's hello.
  const NodeRecord& peer() const { return peer_; }

 private:
  std::string ComputeProof(bool client) const;

  const bool is_client_;
  const std::string_view shared_key_;
  std::string own_hello_;
  std::string peer_hello_;
  NodeId own_id_;
  NodeRecord peer_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_LINK_HANDSHAKE_H_
