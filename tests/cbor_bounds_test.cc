#include "base/cbor_bounds.h"

#include <string>

#include <criterion/criterion.h>

#include "dragonflytack/base/random.h"
#include "net/cbor.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

json RandomItem(Random* random, int depth) {
  const uint64_t kind = random->Below(depth > 0 ? 9 : 7);
  switch (kind) {
    case 0:
      return random->Below(uint64_t{1} << random->Below(64));
    case 1:
      return -static_cast<int64_t>(random->Below(uint64_t{1} << 40));
    case 2:
      return std::string(random->Below(300), 'x');
    case 3:
      return json::binary(std::vector<uint8_t>(random->Below(300), 0xff));
    case 4:
      return random->Unit();
    case 5:
      return nullptr;
    case 6:
      return random->Below(2) == 0;
    default:
      break;
  }
  json item = kind == 7 ? json::array() : json::object();
  for (uint64_t left = random->Below(30); left > 0; --left) {
    json child = RandomItem(random, depth - 1);
    if (kind == 7) {
      item.push_back(std::move(child));
    } else {
      item[std::to_string(left)] = std::move(child);
    }
  }
  return item;
}

}  // namespace

// Guards against valid frames that are refused, and against truncated frames or
// frames with trailing bytes that reach the parser.
Test(cbor_bounds, accepts_exactly_one_complete_item) {
  Random random(11);
  for (int round = 0; round < 2'000; ++round) {
    const std::string bytes = EncodeCbor(RandomItem(&random, 3));
    cr_assert(IsBoundedCbor(bytes, 3), "round %d", round);
    cr_assert_not(IsBoundedCbor(bytes + '\0', 3), "round %d", round);
    cr_assert_not(IsBoundedCbor(bytes.substr(0, bytes.size() - 1), 3),
                  "round %d", round);
  }
}

// Guards against a depth limit that is off by one, and against empty containers
// that are not counted.
Test(cbor_bounds, counts_nested_containers) {
  cr_expect(IsBoundedCbor("\x01", 0));
  cr_expect_not(IsBoundedCbor("\x80", 0));
  cr_expect(IsBoundedCbor("\x80", 1));
  cr_expect_not(IsBoundedCbor("\x81\x80", 1));
  cr_expect(IsBoundedCbor("\x82\x80\x81\xa0", 3));
  cr_expect_not(IsBoundedCbor("\x82\x80\x81\xa0", 2));
  // The depth is the deepest nesting, not the number of containers.
  cr_expect(IsBoundedCbor("\x84\x80\x80\x80\x80", 2));
}

}  // namespace dragonflytack
