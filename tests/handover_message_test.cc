#include "onetime/handover_message.h"

#include <string>

#include <criterion/criterion.h>

#include "dragonflytack/base/hash.h"
#include "net/cbor.h"

namespace dragonflytack {

// Guards against numbers that are cut off: a record state of 2^32 + 1 was read
// as "done", and a chunk 2^32 as chunk 0.
Test(handover_message, refuses_numbers_out_of_range) {
  constexpr uint64_t kBeyond = uint64_t{1} << 32;
  const HandoverMessage good{
      .from = {"a", 1},
      .to = {"b", 2},
      .owner = {"a", 1},
      .records = {{RecordId{1, 2}, Record{.state = RecordState::kDone}}}};
  Failure reason;
  const auto whole = *DecodeCbor(good.Encode("key").substr(32), &reason);
  const auto is_accepted = [&](const nlohmann::json& message) {
    const std::string body = EncodeCbor(message);
    return HandoverMessage::Decode(
               HmacSha256("key", "dragonflytack handover 1\n" + body) + body,
               "key", &reason)
        .has_value();
  };
  cr_assert(is_accepted(whole));
  auto changed = whole;
  changed[4] = kBeyond;
  cr_expect_not(is_accepted(changed));
  changed = whole;
  changed[5] = UINT64_MAX;
  cr_expect_not(is_accepted(changed));
  changed = whole;
  changed[6][0][2] = kBeyond + 1;
  cr_expect_not(is_accepted(changed));
  changed = whole;
  changed[6][0][0] = -1;
  cr_expect_not(is_accepted(changed));
}

}  // namespace dragonflytack
