#include "distribution/departure_store.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "distribution/throttled_store_client.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/store/store_era.h"
#include "net/record_json.h"

namespace dragonflytack {

namespace {

constexpr char kKeyPrefix[] = "departures/";
// Several times the size of the longest valid value.
constexpr size_t kMaxValueBytes = 256;

std::optional<TargetRun> ParseValue(const std::string& value) {
  return value.size() > kMaxValueBytes
             ? std::nullopt
             : TargetRunFromJson(nlohmann::json::parse(value, nullptr, false));
}

}  // namespace

DepartureStore::DepartureStore(const NodeId& node,
                               ThrottledStoreClient* store,
                               TimerService* timers,
                               uint64_t seed,
                               Logger* logger,
                               RunCallback on_read,
                               std::function<void()> on_changed)
    : key_(kKeyPrefix + node),
      store_(store),
      timers_(timers),
      random_(seed),
      logger_(logger),
      on_read_(std::move(on_read)),
      on_changed_(std::move(on_changed)) {}

DepartureStore::~DepartureStore() {
  timers_->Cancel(step_timer_);
  timers_->Cancel(overdue_timer_);
}

void DepartureStore::Start() {
  overdue_timer_ =
      timers_->SubscribeOnce(kMaxResponseTime, [this] { SetOverdue(); });
  StepAfter(Milliseconds(
      random_.Below(static_cast<uint64_t>(kMaxStartDelay.count()))));
}

void DepartureStore::SetOverdue() {
  if (!is_read_ && !std::exchange(is_overdue_, true)) {
    on_changed_();
  }
}

void DepartureStore::Write(const TargetRun& run) {
  if (wanted_ == run) {
    return;
  }
  wanted_ = run;
  backoff_.Reset();
  Step();
}

void DepartureStore::Tick() {
  if (!version_ || is_calling_ || era_ == store_->era().value_or(0)) {
    return;
  }
  version_.reset();
  if (!wanted_.empty()) {
    StepAfter(Milliseconds(
        random_.Below(static_cast<uint64_t>(kMaxRewriteDelay.count()))));
  }
}

bool DepartureStore::Holds(const TargetRun& run) const {
  return version_ && era_ == store_->era().value_or(0) && !stored_.empty() &&
         (run.IsSame(stored_) || run.IsEarlierThan(stored_));
}

void DepartureStore::Step() {
  if (is_calling_) {
    return;
  }
  timers_->Cancel(std::exchange(step_timer_, 0));
  if (!version_) {
    Read();
  } else if (!wanted_.empty() && !Holds(wanted_)) {
    Put();
  }
}

void DepartureStore::StepAfter(Milliseconds delay) {
  timers_->Cancel(step_timer_);
  step_timer_ = timers_->SubscribeOnce(delay, [this] {
    step_timer_ = 0;
    Step();
  });
}

void DepartureStore::Read() {
  is_calling_ = store_->Get(
      key_, [this](std::optional<StoreObject> object, const Failure&) {
        is_calling_ = false;
        if (object) {
          OnRead(*object);
        } else {
          StepAfter(backoff_.Next(&random_));
          SetOverdue();
        }
      });
  if (!is_calling_) {
    StepAfter(backoff_.Next(&random_));
  }
}

void DepartureStore::OnRead(const StoreObject& object) {
  backoff_.Reset();
  version_ = object.version;
  era_ = store_->era().value_or(0);
  stored_ = TargetRun();
  bool is_complete = is_read_ || IsOfPresentEra(object.version);
  if (const std::optional<TargetRun> run = ParseValue(object.value)) {
    stored_ = *run;
  } else if (object.version != 0) {
    is_complete = is_read_;
    logger_->Warning("departure_refused",
                     {{"reason", "the object is malformed"},
                      {"revision", uint64_t{object.version}}});
  }
  if (!std::exchange(is_read_, is_complete) && is_complete) {
    logger_->Info("departures_known",
                  {{"from", "store"}, {"started_ms", stored_.started_ms}});
  }
  if (!stored_.empty()) {
    on_read_(stored_);
  }
  SetOverdue();
  on_changed_();
  Step();
}

void DepartureStore::Put() {
  is_calling_ = store_->Put(
      key_, TargetRunToJson(wanted_).dump(), *version_,
      [this, run = wanted_](std::optional<StoreVersion> version,
                            const Failure& reason) {
        is_calling_ = false;
        logger_->Info("departure_stored",
                      {{"started_ms", run.started_ms},
                       {"result", version ? "written" : reason.ToString()}});
        if (version) {
          backoff_.Reset();
          version_ = version;
          era_ = store_->era().value_or(0);
          stored_ = run;
          on_changed_();
          Step();
          return;
        }
        if (reason.code == FailureCode::kConflict ||
            reason.code == FailureCode::kStoreTimeout) {
          // Another process wrote the object, or this write took effect.
          version_.reset();
        }
        StepAfter(backoff_.Next(&random_));
      });
  if (!is_calling_) {
    StepAfter(backoff_.Next(&random_));
  }
}

bool DepartureStore::IsOfPresentEra(StoreVersion version) const {
  const uint64_t era = store_->era().value_or(0);
  return era == 0 ||
         (version != 0 && store_->CanWriteTable() && EraOf(version) == era);
}

}  // namespace dragonflytack
