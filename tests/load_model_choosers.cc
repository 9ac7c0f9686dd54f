#include <chrono>
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "dragonflytack/base/random.h"
#include "load_model.h"
#include "routing/service_pool.h"

namespace dragonflytack::load_model {

namespace {

// What leaving the region costs beside the time: traffic between regions is
// billed by volume. In milliseconds of wait.
constexpr double kBilledMillis = 50;

class Oracle final : public Chooser {
 public:
  Oracle(const LoadModel* model, int node)
      : model_(model), node_(node), random_(model->seed() * 1000 + node) {}

  int Choose() override {
    const std::vector<SimulatedTarget>& targets = model_->targets();
    double best_cost = std::numeric_limits<double>::max();
    int best = 0;
    const size_t start = random_.Below(targets.size());
    for (size_t i = 0; i < targets.size(); ++i) {
      const int index = static_cast<int>((start + i) % targets.size());
      if (const double cost = CostOf(index); cost < best_cost) {
        best_cost = cost;
        best = index;
      }
    }
    return best;
  }
  void OnSent(int /*target*/) override {}
  void OnResponse(const Response& /*response*/) override {}

 private:
  double CostOf(int index) const {
    const SimulatedTarget& target = model_->targets()[index];
    if (target.failing || !target.joined) {
      return std::numeric_limits<double>::max();
    }
    const int calls = target.in_transit + target.running +
                      static_cast<int>(target.waiting.size());
    const double run_time = kMeanRunTime * target.slowness / target.speed;
    const double wait =
        calls < target.slots
            ? 0
            : run_time * (calls - target.slots + 1) / target.slots;
    const double distance =
        2 * (Site::OneWay(node_, index) - kOneWayInDataCentre);
    const double billed =
        Site::RegionOf(node_) == Site::RegionOf(index) ? 0 : kBilledMillis;
    // Among targets without a wait, the one with the most room.
    return wait + distance + billed +
           0.5 * static_cast<double>(calls) / target.slots;
  }

  const LoadModel* const model_;
  const int node_;
  Random random_;
};

class Product final : public Chooser {
 public:
  Product(const LoadModel* model, int node)
      : model_(model),
        random_(model->seed() * 1000 + node),
        pool_(model, &random_, RegionName(node), DataCentreName(node)) {
    route_.row.service = "s";
    route_.row.slots = model->site().pattern.slots;
    for (int i = 0; i < model->site().pattern.targets; ++i) {
      Endpoint endpoint;
      endpoint.record.id = fmt::format("{}", i);
      endpoint.record.region = RegionName(i);
      endpoint.record.data_centre = DataCentreName(i);
      endpoint.record.state = model->targets()[i].joined
                                  ? TargetState::kReady
                                  : TargetState::kStarting;
      route_.endpoints.push_back(endpoint);
    }
    Publish();
    endpoints_.resize(route_.endpoints.size());
  }

  int Choose() override {
    ServicePool::EndpointPtr chosen = pool_.Choose({});
    const int index = std::stoi(chosen->record().id);
    endpoints_[index] = std::move(chosen);
    return index;
  }
  void OnSent(int target) override {
    endpoints_[target]->OnSent(model_->Now());
  }
  void OnResponse(const Response& response) override {
    EndpointState* const endpoint = endpoints_[response.target].get();
    const TimePoint now = model_->Now();
    endpoint->OnResponse(now);
    endpoint->OnLoadReport(response.load, now);
    endpoint->OnOccupancy(response.occupancy, now);
    pool_.OnAttemptEnded(
        endpoint,
        response.failed ? AttemptOutcome::kFailure : AttemptOutcome::kSuccess,
        std::chrono::nanoseconds(
            static_cast<int64_t>(response.latency_ms * 1e6)));
  }
  void OnJoined(int target) override {
    NodeRecord& record = route_.endpoints[target].record;
    record.state = TargetState::kWarming;
    record.incarnation = 2;
    record.warming_since_ms = model_->WallMillis();
    Publish();
  }

 private:
  static std::string RegionName(int index) {
    return fmt::format("r{}", Site::RegionOf(index));
  }
  static std::string DataCentreName(int index) {
    return fmt::format("d{}", Site::DataCentreOf(index));
  }
  void Publish() { pool_.Update(std::make_shared<const ServiceRoute>(route_)); }

  const LoadModel* const model_;
  Random random_;
  ServicePool pool_;
  ServiceRoute route_;
  std::vector<ServicePool::EndpointPtr> endpoints_;
};

}  // namespace

std::unique_ptr<Chooser> MakeOracle(const LoadModel& model, int node) {
  return std::make_unique<Oracle>(&model, node);
}

std::unique_ptr<Chooser> MakeProduct(const LoadModel& model, int node) {
  return std::make_unique<Product>(&model, node);
}

}  // namespace dragonflytack::load_model
