#include "dragonflytack/distribution/distribution_core.h"

#include <utility>

#include "distribution/distribution_core_impl.h"
#include "dragonflytack/routing/endpoint.h"

namespace dragonflytack {

DistributionCore::DistributionCore(const Settings& settings,
                                   TimerService* timers,
                                   StoreClient* store,
                                   LinkLayer* links,
                                   Logger* logger,
                                   uint64_t seed)
    : impl_(std::make_unique<Impl>(settings,
                                   timers,
                                   store,
                                   links,
                                   logger,
                                   seed)) {}

DistributionCore::~DistributionCore() = default;

void DistributionCore::set_on_routes(RoutesCallback on_routes) {
  impl_->set_on_routes(std::move(on_routes));
}

void DistributionCore::set_on_departure(DepartureCallback on_departure) {
  impl_->set_on_departure(std::move(on_departure));
}

void DistributionCore::Start() {
  impl_->Start();
}

void DistributionCore::OnLinkUp(LinkId link,
                                const NodeRecord& peer,
                                bool outgoing) {
  impl_->OnLinkUp(link, peer, outgoing);
}

void DistributionCore::OnFrame(LinkId link, std::string_view frame) {
  impl_->OnFrame(link, frame);
}

void DistributionCore::OnLinkDown(LinkId link, const Failure& reason) {
  impl_->OnLinkDown(link, reason);
}

void DistributionCore::SetTarget(const std::string& service,
                                 TargetState state,
                                 int slots,
                                 const std::string& release) {
  impl_->SetTarget(service, state, slots, release);
}

void DistributionCore::set_on_departure_status(
    std::function<void()> on_departure_status) {
  impl_->set_on_departure_status(std::move(on_departure_status));
}

void DistributionCore::SetDeparture(const TargetRun& run) {
  impl_->SetDeparture(run);
}

bool DistributionCore::KnowsDepartures() const {
  return impl_->KnowsDepartures();
}

bool DistributionCore::IsDepartureStored(const TargetRun& run) const {
  return impl_->IsDepartureStored(run);
}

void DistributionCore::SetRolloutRole(bool is_controller) {
  impl_->SetRolloutRole(is_controller);
}

void DistributionCore::PublishShare(const RolloutShare& share) {
  impl_->PublishShare(share);
}

const RolloutShares& DistributionCore::rollout_shares() const {
  return impl_->rollout_shares();
}

void DistributionCore::BeginDrain() {
  impl_->BeginDrain();
}

void DistributionCore::AnnounceSuccessor(const NodeId& successor) {
  impl_->AnnounceSuccessor(successor);
}

void DistributionCore::AnnounceTakeover(const NodeId& owner,
                                        uint64_t incarnation) {
  impl_->AnnounceTakeover(owner, incarnation);
}

const NodeRecord& DistributionCore::self() const {
  return impl_->self();
}

std::shared_ptr<const Table> DistributionCore::table() const {
  return impl_->table();
}

DistributionStatus DistributionCore::Status() const {
  return impl_->Status();
}

const TrafficCounters& DistributionCore::traffic() const {
  return impl_->traffic();
}

std::optional<NodeRecord> DistributionCore::FindRecord(const NodeId& id) const {
  return impl_->FindRecord(id);
}

std::vector<Endpoint> DistributionCore::KnownNodes() const {
  return impl_->KnownNodes();
}

}  // namespace dragonflytack
