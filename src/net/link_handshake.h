#ifndef DRAGONFLYTACK_NET_LINK_HANDSHAKE_H_
#define DRAGONFLYTACK_NET_LINK_HANDSHAKE_H_

#include <string>
#include <string_view>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/registry/node_record.h"

namespace dragonflytack {

// The messages that two nodes exchange before they trust a link. Each end sends
// a hello with its role, its record and a random nonce, then a proof: the
// HMAC-SHA256 under the shared key over the prover's role and both hellos. The
// nonces prevent replay, the roles prevent that an end is sent its own proof.
class LinkHandshake final {
 public:
  // Messages of the handshake are not longer than this.
  static constexpr size_t kMaxMessageBytes = 4096;

  // The dialing end has the role "client". An empty key proves nothing; the
  // caller then accepts loopback peers only.
  LinkHandshake(bool is_client, std::string_view shared_key);

  // Returns this end's hello with a new nonce.
  std::string MakeHello(const NodeRecord& self);

  // Takes the peer's hello. Returns false, with kInvalidMessage or
  // kPeerRejected, when it is malformed or comes from this node itself.
  bool TakeHello(std::string_view message, Failure* reason);

  // Returns this end's proof. Both hellos must have passed.
  std::string MakeProof() const;

  // Returns false, with kAuthentication, when the peer does not have the key.
  bool TakeProof(std::string_view message, Failure* reason) const;

  // Record of the peer's hello.
  const NodeRecord& peer() const { return peer_; }

 private:
  std::string ProofOf(bool client) const;

  const bool is_client_;
  const std::string_view shared_key_;
  std::string own_hello_;
  std::string peer_hello_;
  NodeId own_id_;
  NodeRecord peer_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_LINK_HANDSHAKE_H_
