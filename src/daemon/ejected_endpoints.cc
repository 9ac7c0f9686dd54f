#include "daemon/ejected_endpoints.h"

#include <chrono>

#include <fmt/format.h>

namespace dragonflytack {

void EjectedEndpoints::Add(const std::string& service,
                           const NodeId& target,
                           Milliseconds period) {
  Expire();
  ejected_until_[std::pair(service, target)] = clock_->Now() + period;
}

std::string EjectedEndpoints::EjectionReason(const std::string& service,
                                             const NodeId& target) const {
  const auto found = ejected_until_.find(std::pair(service, target));
  if (found == ejected_until_.end() || found->second <= clock_->Now()) {
    return "";
  }
  const auto left =
      std::chrono::ceil<Milliseconds>(found->second - clock_->Now());
  return fmt::format("ejected after failed calls, {} ms left", left.count());
}

size_t EjectedEndpoints::Count() {
  Expire();
  return ejected_until_.size();
}

void EjectedEndpoints::Expire() {
  std::erase_if(ejected_until_, [now = clock_->Now()](const auto& entry) {
    return entry.second <= now;
  });
}

}  // namespace dragonflytack
