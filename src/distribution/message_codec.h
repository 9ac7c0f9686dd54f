#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_MESSAGE_CODEC_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_MESSAGE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "distribution/messages.h"
#include "dragonflytack/base/failure.h"

namespace dragonflytack {

// Frames are CBOR arrays [kind, fields...]; arrays rather than maps, because
// field names would double the size of a record.
class MessageCodec final {
 public:
  // A table of the largest size that the store takes fits into one frame.
  static constexpr size_t kMaxFrameBytes = 2'000'000;
  // The deepest message nests four arrays. The bound protects the recursive
  // parser's stack.
  static constexpr int kMaxDepth = 6;

  static std::string Encode(const Message& message);

  // Returns nothing for a frame that is not exactly one valid message: the
  // reason is kTooLarge for one over kMaxFrameBytes and kInvalidMessage
  // otherwise.
  static std::optional<Message> Decode(std::string_view frame, Failure* reason);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_MESSAGE_CODEC_H_
