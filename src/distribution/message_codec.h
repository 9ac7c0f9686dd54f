#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_MESSAGE_CODEC_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_MESSAGE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "distribution/messages.h"
#include "dragonflytack/base/failure.h"

namespace dragonflytack {

// Encodes messages as CBOR arrays [kind, fields...]. Maps are not used because
// field names would double the size of a record.
class MessageCodec final {
 public:
  // A table of Table::kMaxEncodedBytes fits into one frame.
  static constexpr size_t kMaxFrameBytes = 8'000'000;
  // The deepest message nests four arrays. The bound protects the recursive
  // parser's stack.
  static constexpr int kMaxDepth = 6;

  static std::string Encode(const Message& message);

  // Returns std::nullopt if the frame is not exactly one valid message. The
  // reason is kTooLarge for a frame longer than kMaxFrameBytes and
  // kInvalidMessage otherwise.
  static std::optional<Message> Decode(std::string_view frame, Failure* reason);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_MESSAGE_CODEC_H_
