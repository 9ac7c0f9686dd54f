#include "distribution/seed_list_updater.h"

#include <optional>
#include <utility>

#include "distribution/throttled_store_client.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/random.h"

namespace dragonflytack {

namespace {
constexpr char kSeedsKey[] = "seeds";
}  // namespace

SeedListUpdater::SeedListUpdater(std::string data_centre,
                                 ThrottledStoreClient* store,
                                 const Clock* clock,
                                 Random* random,
                                 Logger* logger,
                                 OwnEntryFunction own_entry,
                                 ReadCallback on_read)
    : data_centre_(std::move(data_centre)),
      store_(store),
      clock_(clock),
      random_(random),
      logger_(logger),
      own_entry_(std::move(own_entry)),
      on_read_(std::move(on_read)) {}

void SeedListUpdater::Tick(bool isolated, bool designated_watcher) {
  const TimePoint now = clock_->Now();
  const bool restored = WasStoreRestored();
  if (restored) {
    // The store may have lost what this node wrote.
    next_write_ = now;
  }
  if (designated_watcher &&
      (restored || !designated_watcher_ || TakeOwnEntryOutdated())) {
    // A new designated watcher updates the list soon, but after a random delay,
    // so that several of them do not conflict. So does each of them if the
    // store has come back from an older copy or their entry is out of date.
    next_read_ =
        std::min(next_read_, now) + Milliseconds(random_->Below(1'000));
    update_backoff_.Reset();
  }
  if (!isolated) {
    isolated_backoff_.Reset();
  }
  isolated_ = isolated;
  designated_watcher_ = designated_watcher;
  if ((isolated || designated_watcher) && now >= next_read_ && !reading_) {
    Read();
  }
}

void SeedListUpdater::OnStoreResponse() {
  if (!has_response_) {
    isolated_backoff_.Reset();
    next_read_ = clock_->Now();
  }
}

bool SeedListUpdater::WasStoreRestored() {
  const std::optional<uint64_t> era = store_->era();
  const bool restored = era_ && era > era_;
  era_ = era;
  return restored;
}

bool SeedListUpdater::TakeOwnEntryOutdated() {
  const TimePoint now = clock_->Now();
  if (!listed_ || reading_ || now < next_check_) {
    return false;
  }
  next_check_ = now + kCheckInterval;
  if (own_entry_(*listed_) == *listed_) {
    return false;
  }
  listed_.reset();
  return true;
}

void SeedListUpdater::Read() {
  const TimePoint now = clock_->Now();
  next_read_ =
      now + (isolated_ ? isolated_backoff_ : update_backoff_).Next(random_);
  reading_ = store_->Get(
      kSeedsKey, [this](std::optional<StoreObject> object, const Failure&) {
        reading_ = false;
        if (object.has_value()) {
          has_response_ = true;
          OnRead(*object);
        }
      });
}

void SeedListUpdater::OnRead(const StoreObject& object) {
  SeedList seeds;
  if (object.version != 0) {
    Failure reason;
    std::optional<SeedList> parsed = SeedList::Parse(object.value, &reason);
    if (!parsed.has_value()) {
      logger_->Warning("seeds_refused", {{"reason", reason.ToString()}});
    } else {
      seeds = std::move(*parsed);
      if (reason.code != FailureCode::kNone) {
        logger_->Warning("seeds_entry_refused",
                         {{"reason", reason.ToString()},
                          {"revision", uint64_t{object.version}}});
      }
    }
  }
  on_read_(seeds);
  SeedList::DataCentre& listed = seeds.data_centres[data_centre_];
  listed_ = listed;
  if (!designated_watcher_) {
    return;
  }
  SeedList::DataCentre wanted = own_entry_(listed);
  if (listed == wanted) {
    return;
  }
  const TimePoint now = clock_->Now();
  if (now < next_write_) {
    next_read_ = std::min(next_read_, next_write_);
    return;
  }
  listed = std::move(wanted);
  const bool is_sent =
      store_->Put(kSeedsKey, seeds.ToJson(), object.version,
                  [this, written = listed](std::optional<StoreVersion> version,
                                           const Failure& reason) {
                    if (version.has_value()) {
                      listed_ = written;
                    } else if (reason.code == FailureCode::kConflict) {
                      // Nothing was written, so the interval between writes has
                      // not begun.
                      const TimePoint retry_at =
                          clock_->Now() + kConflictDelay / 2 +
                          Milliseconds(random_->Below(kConflictDelay.count()));
                      next_read_ = retry_at;
                      next_write_ = retry_at;
                    }
                  });
  if (is_sent) {
    next_write_ = now + kMinWriteInterval;
  }
}

}  // namespace dragonflytack
