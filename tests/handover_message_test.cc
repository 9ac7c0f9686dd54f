#include "onetime/handover_message.h"

#include <string>

#include <criterion/criterion.h>

#include "dragonflytack/base/hash.h"
#include "net/cbor.h"

namespace dragonflytack {

// Guards against truncated numbers: a record state of 2^32 + 1 was read as
// "done", and chunk number 2^32 as 0.
Test(handover_message, rejects_numbers_out_of_range) {
  constexpr uint64_t kBeyond = uint64_t{1} << 32;
  const HandoverMessage valid_message{
      .from = {"a", 1},
      .to = {"b", 2},
      .owner = {"a", 1},
      .records = {{RecordId{1, 2}, Record{.state = RecordState::kDone}}}};
  Failure reason;
  const auto valid_json =
      *DecodeCbor(valid_message.Encode("key").substr(32), &reason);
  const auto is_accepted = [&](const nlohmann::json& message) {
    const std::string body = EncodeCbor(message);
    return HandoverMessage::Decode(
               HmacSha256("key", "dragonflytack handover 1\n" + body) + body,
               "key", &reason)
        .has_value();
  };
  cr_assert(is_accepted(valid_json));
  auto changed = valid_json;
  changed[4] = kBeyond;
  cr_expect_not(is_accepted(changed));
  changed = valid_json;
  changed[5] = UINT64_MAX;
  cr_expect_not(is_accepted(changed));
  changed = valid_json;
  changed[6][0][2] = kBeyond + 1;
  cr_expect_not(is_accepted(changed));
  changed = valid_json;
  changed[6][0][0] = -1;
  cr_expect_not(is_accepted(changed));
}

}  // namespace dragonflytack
