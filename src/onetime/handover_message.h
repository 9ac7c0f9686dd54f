#ifndef DRAGONFLYTACK_ONETIME_HANDOVER_MESSAGE_H_
#define DRAGONFLYTACK_ONETIME_HANDOVER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "onetime/owner_incarnation.h"
#include "onetime/record.h"
#include "onetime/record_id.h"

namespace dragonflytack {

// One message of a handover: a chunk of the records of one owner, or the commit
// that follows all chunks. `from` and `to` identify processes, so a copy that
// reaches a restarted successor is refused.
struct HandoverMessage final {
  // No record is added to a chunk of at least this size, so a message exceeds
  // it by at most one recorded response.
  static constexpr size_t kChunkBytes = 256U << 10;
  static constexpr size_t kMaxBytes = 512U << 10;

  enum class Kind { kChunk, kCommit };

  Kind kind = Kind::kChunk;
  OwnerIncarnation from;
  OwnerIncarnation to;
  OwnerIncarnation owner;
  // kChunk: number of the chunk, from 0. kCommit: number of chunks.
  uint32_t index = 0;
  // kCommit: the time on the clock of the record set.
  int64_t time_ms = 0;
  std::vector<std::pair<RecordId, Record>> records;

  // Returns an authentication code under `shared_key`, followed by CBOR.
  std::string Encode(std::string_view shared_key) const;

  // Returns std::nullopt and sets `reason` to kTooLarge, kAuthentication or
  // kInvalidMessage if the message is refused.
  static std::optional<HandoverMessage> Decode(std::string_view bytes,
                                               std::string_view shared_key,
                                               Failure* reason);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_HANDOVER_MESSAGE_H_
