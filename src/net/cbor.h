#ifndef DRAGONFLYTACK_NET_CBOR_H_
#define DRAGONFLYTACK_NET_CBOR_H_

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "dragonflytack/base/failure.h"

namespace dragonflytack {

std::string EncodeCbor(const nlohmann::json& value);

// Reads one CBOR item that fills `bytes`. Returns nothing, with
// kInvalidMessage, when it is malformed or nested deeper than `max_depth`: the
// decoder recurses, so the depth of a hostile message must be bounded.
std::optional<nlohmann::json> DecodeCbor(std::string_view bytes,
                                         Failure* reason,
                                         int max_depth = 16);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_CBOR_H_
