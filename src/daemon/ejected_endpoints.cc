#include "daemon/ejected_endpoints.h"

#include <chrono>

#include <fmt/format.h>

namespace dragonflytack {

void EjectedEndpoints::Note(const std::string& service,
                            const NodeId& target,
                            Milliseconds period) {
  Expire();
  until_[std::pair(service, target)] = clock_->Now() + period;
}

std::string EjectedEndpoints::LeftOut(const std::string& service,
                                      const NodeId& target) const {
  const auto found = until_.find(std::pair(service, target));
  if (found == until_.end() || found->second <= clock_->Now()) {
    return "";
  }
  const auto left =
      std::chrono::ceil<Milliseconds>(found->second - clock_->Now());
  return fmt::format("ejected after failed calls, {} ms left", left.count());
}

size_t EjectedEndpoints::Count() {
  Expire();
  return until_.size();
}

void EjectedEndpoints::Expire() {
  std::erase_if(until_, [now = clock_->Now()](const auto& entry) {
    return entry.second <= now;
  });
}

}  // namespace dragonflytack
