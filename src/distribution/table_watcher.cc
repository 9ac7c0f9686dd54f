#include "distribution/table_watcher.h"

#include <algorithm>
#include <utility>

#include "distribution/throttled_store_client.h"
#include "dragonflytack/base/random.h"

namespace dragonflytack {

namespace {
constexpr char kTableKey[] = "table";
// Minimum interval between watches, for a store that responds to unchanged
// watches immediately.
constexpr Milliseconds kMinWatchInterval{1'000};
constexpr Milliseconds kBudgetRetryDelay{250};
// Delay before the next watch after a change, so that changes in quick
// succession are read together: each response to a watch counts as a store
// call. It is small compared with the 2 s to 6 s in which a change has to be in
// force.
constexpr Milliseconds kRewatchDelay{200};
}  // namespace

TableWatcher::TableWatcher(ThrottledStoreClient* store,
                           TimerService* timers,
                           Random* random,
                           ProcessedVersionFunction processed_version,
                           VersionCallback on_version,
                           ObjectCallback on_object,
                           std::function<void()> on_served_changed)
    : store_(store),
      timers_(timers),
      random_(random),
      processed_version_(std::move(processed_version)),
      on_version_(std::move(on_version)),
      on_object_(std::move(on_object)),
      on_served_changed_(std::move(on_served_changed)) {}

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
    RestartTimer(&probe_timer_, probe_backoff_.Next(random_),
                 [this] { Probe(); });
  };
  const bool sent = store_->Watch(
      kTableKey, 0, Milliseconds(0),
      [this, retry](std::optional<StoreVersion> version, const Failure&) {
        if (!version.has_value()) {
          retry();
          return;
        }
        probed_ = true;
        store_version_ = std::max(store_version_, *version);
        on_version_(*version);
        TakePrefetched();
      });
  if (!sent) {
    retry();
  }
}

void TableWatcher::SetActive(bool active,
                             bool is_standby,
                             Milliseconds fetch_delay) {
  is_standby_ = is_standby;
  fetch_delay_ = fetch_delay;
  if (active == active_) {
    return;
  }
  active_ = active;
  ++generation_;
  timers_->Cancel(watch_timer_);
  SetState(State::kUnknown);
  if (active_) {
    store_version_ = std::max(store_version_, processed_version_());
    StartWatch();
  }
}

void TableWatcher::SetState(State state) {
  if (state != state_) {
    state_ = state;
    if (on_served_changed_) {
      on_served_changed_();
    }
  }
}

void TableWatcher::StartWatch() {
  if (!active_) {
    return;
  }
  const TimePoint started_at = timers_->clock().Now();
  const bool sent =
      store_->Watch(kTableKey, store_version_,
                    last_watch_failed_ ? Milliseconds(0) : kWatchTimeout,
                    [this, generation = generation_, started_at](
                        std::optional<StoreVersion> version, const Failure&) {
                      OnWatchResponse(generation, version.has_value(),
                                      version.value_or(0), started_at);
                    });
  if (!sent) {
    RestartTimer(&watch_timer_, kBudgetRetryDelay, [this] { StartWatch(); });
  }
}

void TableWatcher::OnWatchResponse(uint64_t generation,
                                   bool succeeded,
                                   StoreVersion version,
                                   TimePoint started_at) {
  if (generation != generation_) {
    return;
  }
  last_watch_failed_ = !succeeded;
  SetState(succeeded ? State::kServed : State::kFailing);
  if (!succeeded || version < store_version_) {
    Backoff& backoff = is_standby_ ? standby_backoff_ : watch_backoff_;
    RestartTimer(&watch_timer_, backoff.Next(random_),
                 [this] { StartWatch(); });
    return;
  }
  watch_backoff_.Reset();
  standby_backoff_.Reset();
  const bool changed = version > store_version_;
  store_version_ = std::max(store_version_, version);
  if (changed) {
    on_version_(version);
  }
  // Another content of the known version may have come without a change of the
  // version.
  TakePrefetched();
  if (processed_version_() < store_version_ && fetch_timer_ == 0 &&
      !fetching_) {
    ScheduleFetch();
  }
  if (changed) {
    RestartTimer(&watch_timer_, kRewatchDelay, [this] { StartWatch(); });
  } else if (timers_->clock().Now() - started_at < kMinWatchInterval) {
    RestartTimer(&watch_timer_, kMinWatchInterval, [this] { StartWatch(); });
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
  RestartTimer(&fetch_timer_, fetch_delay_, [this] {
    if (processed_version_() < store_version_) {
      Fetch(
          [this] { return active_ && processed_version_() < store_version_; });
    }
  });
}

void TableWatcher::Fetch(std::function<bool()> still_needed) {
  if (fetching_ || fetch_timer_ != 0) {
    // A joining node calls this in each tick, which must not bypass the backoff
    // of a pending retry.
    return;
  }
  const auto retry = [this, still_needed](Milliseconds delay) {
    if (still_needed()) {
      RestartTimer(&fetch_timer_, delay, [this, still_needed] {
        if (still_needed()) {
          Fetch(still_needed);
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
        on_object_(*object);
        if (object->version < store_version_) {
          // The store has come back from an older copy and lacks the version
          // that it reported, until that is written again.
          retry(fetch_backoff_.Next(random_));
          return;
        }
        fetch_backoff_.Reset();
        // A newer version may have been written during the fetch.
        if (active_ && processed_version_() < store_version_ &&
            object->version != 0 && fetch_timer_ == 0) {
          ScheduleFetch();
        }
      });
  if (!fetching_) {
    // The call budget is spent, which is no failure of the store: retry after a
    // fixed delay instead of backing off.
    retry(kBudgetRetryDelay);
  }
}

void TableWatcher::RestartTimer(TimerId* timer,
                                Milliseconds delay,
                                std::function<void()> action) {
  timers_->Cancel(*timer);
  *timer = timers_->SubscribeOnce(delay, [timer, action = std::move(action)] {
    *timer = 0;
    action();
  });
}

}  // namespace dragonflytack
