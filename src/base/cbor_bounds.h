#ifndef DRAGONFLYTACK_BASE_CBOR_BOUNDS_H_
#define DRAGONFLYTACK_BASE_CBOR_BOUNDS_H_

#include <string_view>

namespace dragonflytack {

// Returns whether `bytes` are exactly one CBOR item of definite length that
// nests arrays and maps at most `max_depth` deep. Must be checked before
// untrusted input is passed to nlohmann's parser: that parser recurses for
// nested containers and for nested strings of indefinite length, and throws on
// a container that declares more elements than memory can hold, even with
// exceptions disabled. Tags are rejected, as they are by the parser.
bool IsBoundedCbor(std::string_view bytes, int max_depth);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_CBOR_BOUNDS_H_
