#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_RECORD_CODEC_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_RECORD_CODEC_H_

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "distribution/messages.h"

namespace dragonflytack {

class CborReader;

// The wire form of registry entries. The texts that many records share are
// written once, as an array of texts in front, and named by index.
class RecordCodec final {
 public:
  // Longest id, region, data centre, service or address.
  static constexpr size_t kMaxTextBytes = NodeRecord::kMaxTextBytes;

  // Appends the elements to the array of a message.
  static void Append(const RecordsMessage& message, nlohmann::json* array);
  // Reads what Append() wrote; failures are those of the reader.
  static RecordsMessage Read(CborReader* reader);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_RECORD_CODEC_H_
