#include "base/buffer_budget.h"

#include <sys/sysinfo.h>
#include <algorithm>
#include <utility>

namespace dragonflytack {

bool BufferBudget::Share::Add(size_t bytes) {
  bytes_ += bytes;
  if (budget_ == nullptr) {
    return true;
  }
  budget_->held_ += bytes;
  const size_t free =
      budget_->limit_ - std::min(budget_->held_, budget_->limit_);
  return bytes_ <= kGuaranteedBytes || bytes_ <= free;
}

void BufferBudget::Share::Remove(size_t bytes) {
  bytes_ -= bytes;
  if (budget_ != nullptr) {
    budget_->held_ -= bytes;
  }
}

void BufferBudget::Share::Release() {
  const size_t bytes = std::exchange(bytes_, 0);
  if (budget_ != nullptr) {
    budget_->held_ -= bytes;
  }
}

size_t BufferBudget::DefaultLimit() {
  constexpr size_t kPart = 4;
  struct sysinfo info {};
  if (sysinfo(&info) != 0) {
    return kMaxDefaultLimit;
  }
  return std::min(static_cast<size_t>(info.totalram) * info.mem_unit / kPart,
                  kMaxDefaultLimit);
}

}  // namespace dragonflytack
