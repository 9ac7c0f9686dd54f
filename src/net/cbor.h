#ifndef DRAGONFLYTACK_NET_CBOR_H_
#define DRAGONFLYTACK_NET_CBOR_H_

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "dragonflytack/base/failure.h"

namespace dragonflytack {

std::string EncodeCbor(const nlohmann::json& value);

// Decodes one CBOR item that must take up all of `bytes`. Returns std::nullopt,
// with kInvalidMessage, if it is malformed or nested deeper than `max_depth`:
// the decoder is recursive, so a hostile message could overflow the stack.
std::optional<nlohmann::json> DecodeCbor(std::string_view bytes,
                                         Failure* reason,
                                         int max_depth = 16);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_CBOR_H_
