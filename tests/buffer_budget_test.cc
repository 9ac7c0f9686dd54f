#include "base/buffer_budget.h"

#include <algorithm>
#include <memory>
#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/base/random.h"

namespace dragonflytack {

namespace {

constexpr size_t kLimit = 32 << 20;
constexpr size_t kReadBytes = 16 << 10;

}  // namespace

// Guards against many connections that each stay below a limit of their own and
// together take the memory of the process, and against connections that send
// without end and leave no room for the others.
Test(buffer_budget, endless_senders_leave_room_for_others) {
  for (const int endless : {1, 10, 200, 1'000}) {
    BufferBudget budget(kLimit);
    Random random(static_cast<uint64_t>(endless));
    std::vector<std::unique_ptr<BufferBudget::Share>> shares;
    for (int i = 0; i < endless; ++i) {
      shares.push_back(std::make_unique<BufferBudget::Share>(&budget));
    }
    const size_t most =
        kLimit + static_cast<size_t>(endless) *
                     (BufferBudget::kGuaranteedBytes + kReadBytes);
    for (int i = 0; i < 200'000; ++i) {
      // A refused sender connects again.
      auto& share = shares[random.Below(shares.size())];
      if (!share->Add(kReadBytes)) {
        share = std::make_unique<BufferBudget::Share>(&budget);
      }
      cr_assert_leq(budget.held(), most, "%d senders", endless);
      if (i % 50 == 0) {
        BufferBudget::Share ordinary(&budget);
        for (size_t sent = 0; sent < BufferBudget::kGuaranteedBytes;
             sent += kReadBytes) {
          cr_assert(ordinary.Add(kReadBytes), "%d senders", endless);
        }
      }
    }
    shares.clear();
    cr_assert_eq(budget.held(), 0);
  }
}

// Guards against a limit of one connection that refuses a large message while
// there is memory.
Test(buffer_budget, few_connections_hold_large_messages) {
  constexpr size_t kMessageBytes = 4 << 20;
  BufferBudget budget(kLimit);
  std::vector<std::unique_ptr<BufferBudget::Share>> shares;
  for (int i = 0; i < 4; ++i) {
    shares.push_back(std::make_unique<BufferBudget::Share>(&budget));
    cr_expect(shares.back()->Add(kMessageBytes));
  }
  BufferBudget::Share without_limit(nullptr);
  cr_expect(without_limit.Add(kLimit * 2));
}

}  // namespace dragonflytack
