#include "registry/failure_detector.h"

#include <string>

#include "registry/registry.h"

namespace dragonflytack {

FailureDetector::FailureDetector(Registry* registry, const Clock* clock)
    : registry_(registry), clock_(clock) {}

bool FailureDetector::Suspect(const Suspicion& suspicion) {
  const RegistryEntry* entry = registry_->Find(suspicion.id);
  if (entry == nullptr || !entry->IsLive() ||
      !registry_->SetLiveness(suspicion.id, suspicion.incarnation,
                              suspicion.sequence, Liveness::kSuspect)) {
    return false;
  }
  pending_[suspicion.id] = Pending{suspicion, clock_->Now()};
  return true;
}

std::vector<Suspicion> FailureDetector::Expire(bool isolated) {
  std::vector<Suspicion> dead;
  if (pending_.empty()) {
    return dead;
  }
  RemoveRefuted();
  MarkCorrelated();
  const TimePoint now = clock_->Now();
  std::erase_if(pending_, [&](const auto& item) {
    const Pending& pending = item.second;
    const Milliseconds limit = pending.is_correlated || isolated
                                   ? kCorrelatedSuspicionTimeout
                                   : kSuspicionTimeout;
    if (now - pending.since < limit) {
      return false;
    }
    dead.push_back(pending.suspicion);
    return true;
  });
  for (const Suspicion& suspicion : dead) {
    registry_->SetLiveness(suspicion.id, suspicion.incarnation,
                           suspicion.sequence, Liveness::kDead);
  }
  return dead;
}

void FailureDetector::RetractAll() {
  for (const auto& [id, pending] : pending_) {
    registry_->SetLiveness(id, pending.suspicion.incarnation,
                           pending.suspicion.sequence, Liveness::kAlive);
  }
  pending_.clear();
}

void FailureDetector::RemoveRefuted() {
  std::erase_if(pending_, [this](const auto& item) {
    const Suspicion& suspicion = item.second.suspicion;
    const RegistryEntry* entry = registry_->Find(suspicion.id);
    return entry == nullptr || entry->liveness != Liveness::kSuspect ||
           !entry->HasRevision(suspicion.incarnation, suspicion.sequence);
  });
}

void FailureDetector::MarkCorrelated() {
  if (pending_.size() < 2) {
    return;
  }
  std::map<std::string, size_t> live;
  for (const auto& [id, entry] : registry_->entries()) {
    live[*entry->data_centre] += entry->IsLive() ? 1 : 0;
  }
  std::map<std::string, size_t> suspected;
  for (const auto& [id, pending] : pending_) {
    ++suspected[*registry_->Find(id)->data_centre];
  }
  for (auto& [id, pending] : pending_) {
    const std::string& data_centre = *registry_->Find(id)->data_centre;
    const size_t count = suspected[data_centre];
    // The mark is never cleared, because the count falls as the first
    // suspicions of the group are refuted or expire.
    pending.is_correlated |=
        count > 1 && count * kCorrelatedDivisor > live[data_centre];
  }
}

}  // namespace dragonflytack
