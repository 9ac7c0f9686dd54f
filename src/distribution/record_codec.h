#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_RECORD_CODEC_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_RECORD_CODEC_H_

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "distribution/messages.h"

namespace dragonflytack {

class CborReader;

// Encodes and decodes registry entries. Strings that many records share are
// encoded once, in a string table in front, and referenced by index.
class RecordCodec final {
 public:
  // Limit for an id, region, data centre, service or address.
  static constexpr size_t kMaxTextBytes = NodeRecord::kMaxTextBytes;

  // Appends the encoded elements to the array of a message.
  static void Append(const RecordsMessage& message, nlohmann::json* array);
  // Decodes what Append() encoded. Failures are reported through reader->ok().
  static RecordsMessage Read(CborReader* reader);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_RECORD_CODEC_H_
