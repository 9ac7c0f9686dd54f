#include "distribution/table_watcher.h"

#include <algorithm>
#include <utility>

#include "distribution/throttled_store_client.h"
#include "dragonflytack/base/random.h"

namespace dragonflytack {

namespace {
constexpr char kTableKey[] = "table";
// A store that answers unchanged watches at once is asked no more often.
constexpr Milliseconds kMinWatchTime{1'000};
constexpr Milliseconds kBudgetWait{250};
// Changes that follow one another are read together: each answer to a watch is
// a call that the store counts. It is small beside the 2 s to 6 s in which a
// change has to be in force.
constexpr Milliseconds kChangeGap{200};
}  // namespace

TableWatcher::TableWatcher(ThrottledStoreClient* store,
                           TimerService* timers,
                           Random* random,
                           KnownFunction known,
                           VersionCallback on_version,
                           ObjectCallback on_object)
    : store_(store),
      timers_(timers),
      random_(random),
      known_(std::move(known)),
      on_version_(std::move(on_version)),
      on_object_(std::move(on_object)) {}

TableWatcher::~TableWatcher() {
  timers_->Cancel(probe_timer_);
  timers_->Cancel(watch_timer_);
  timers_->Cancel(fetch_timer_);
}

void TableWatcher::Probe() {
  if (probed_) {
    return;
  }
  const auto retry = [this] {
    After(&probe_timer_, probe_backoff_.Next(random_), [this] { Probe(); });
  };
  const bool made = store_->Watch(
      kTableKey, 0, Milliseconds(0),
      [this, retry](std::optional<StoreVersion> version, const Failure&) {
        if (!version.has_value()) {
          retry();
          return;
        }
        probed_ = true;
        named_ = std::max(named_, *version);
        on_version_(*version);
        TakePrefetched();
      });
  if (!made) {
    retry();
  }
}

void TableWatcher::SetActive(bool active, Milliseconds fetch_delay) {
  fetch_delay_ = fetch_delay;
  if (active == active_) {
    return;
  }
  active_ = active;
  ++generation_;
  timers_->Cancel(watch_timer_);
  if (active_) {
    named_ = std::max(named_, known_());
    StartWatch();
  }
}

void TableWatcher::StartWatch() {
  if (!active_) {
    return;
  }
  const TimePoint asked = timers_->clock().Now();
  const bool made = store_->Watch(
      kTableKey, named_, unanswered_ ? Milliseconds(0) : kWatchTimeout,
      [this, generation = generation_, asked](
          std::optional<StoreVersion> version, const Failure&) {
        OnWatch(generation, version.has_value(), version.value_or(0), asked);
      });
  if (!made) {
    After(&watch_timer_, kBudgetWait, [this] { StartWatch(); });
  }
}

void TableWatcher::OnWatch(uint64_t generation,
                           bool answered,
                           StoreVersion version,
                           TimePoint asked) {
  if (generation != generation_) {
    return;
  }
  unanswered_ = !answered;
  if (!answered || version < named_) {
    After(&watch_timer_, watch_backoff_.Next(random_),
          [this] { StartWatch(); });
    return;
  }
  watch_backoff_.Reset();
  const bool changed = version > named_;
  named_ = std::max(named_, version);
  if (changed) {
    on_version_(version);
    TakePrefetched();
  }
  if (known_() < named_ && fetch_timer_ == 0 && !fetching_) {
    ScheduleFetch();
  }
  if (changed) {
    After(&watch_timer_, kChangeGap, [this] { StartWatch(); });
  } else if (timers_->clock().Now() - asked < kMinWatchTime) {
    After(&watch_timer_, kMinWatchTime, [this] { StartWatch(); });
  } else {
    StartWatch();
  }
}

void TableWatcher::TakePrefetched() {
  if (const std::optional<StoreObject> object =
          store_->TakePrefetched(kTableKey)) {
    on_object_(*object);
  }
}

void TableWatcher::ScheduleFetch() {
  After(&fetch_timer_, fetch_delay_, [this] {
    if (known_() < named_) {
      Fetch([this] { return active_ && known_() < named_; });
    }
  });
}

void TableWatcher::Fetch(std::function<bool()> wanted) {
  if (fetching_) {
    return;
  }
  const auto retry = [this, wanted](Milliseconds delay) {
    if (wanted()) {
      After(&fetch_timer_, delay, [this, wanted] {
        if (wanted()) {
          Fetch(wanted);
        }
      });
    }
  };
  fetching_ = store_->Get(
      kTableKey,
      [this, retry](std::optional<StoreObject> object, const Failure&) {
        fetching_ = false;
        if (!object.has_value()) {
          retry(fetch_backoff_.Next(random_));
          return;
        }
        fetch_backoff_.Reset();
        on_object_(*object);
        // The version may have risen again during the fetch.
        if (active_ && known_() < named_ && object->version != 0 &&
            fetch_timer_ == 0) {
          ScheduleFetch();
        }
      });
  if (!fetching_) {
    // The budget refills; the store itself gave no reason to back off.
    retry(kBudgetWait);
  }
}

void TableWatcher::After(TimerId* timer,
                         Milliseconds delay,
                         std::function<void()> action) {
  timers_->Cancel(*timer);
  *timer = timers_->SubscribeOnce(delay, [timer, action = std::move(action)] {
    *timer = 0;
    action();
  });
}

}  // namespace dragonflytack
