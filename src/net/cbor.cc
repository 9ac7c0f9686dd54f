#include "net/cbor.h"

#include "base/cbor_bounds.h"

namespace dragonflytack {

using nlohmann::json;

std::string EncodeCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

std::optional<json> DecodeCbor(std::string_view bytes,
                               Failure* reason,
                               int max_depth) {
  if (IsBoundedCbor(bytes, max_depth)) {
    json value = json::from_cbor(bytes, /*strict=*/true,
                                 /*allow_exceptions=*/false);
    if (!value.is_discarded()) {
      return value;
    }
  }
  *reason = {FailureCode::kInvalidMessage, "CBOR",
             "malformed or too deeply nested"};
  return std::nullopt;
}

}  // namespace dragonflytack
