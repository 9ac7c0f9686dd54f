#ifndef DRAGONFLYTACK_BASE_CBOR_BOUNDS_H_
#define DRAGONFLYTACK_BASE_CBOR_BOUNDS_H_

#include <string_view>

namespace dragonflytack {

// Returns whether `bytes` are exactly one CBOR item of definite length that
// opens at most `max_depth` arrays and maps within one another. Must hold
// before nlohmann's parser sees input from outside: that parser recurses for
// nested containers and for nested strings of indefinite length, and throws on
// a container that claims more elements than memory can hold even when it was
// told not to throw. Tags are refused, as the parser does.
bool IsBoundedCbor(std::string_view bytes, int max_depth);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_CBOR_BOUNDS_H_
