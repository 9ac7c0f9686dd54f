#ifndef DRAGONFLYTACK_TESTS_FAKE_STORE_H_
#define DRAGONFLYTACK_TESTS_FAKE_STORE_H_

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dragonflytack/base/manual_clock.h"
#include "dragonflytack/store/store_client.h"
#include "dragonflytack/store/store_era.h"

namespace dragonflytack {

// An object store in memory for tests, with faults. Deliver() delivers the
// responses in the order in which they are due.
class FakeStore final {
 public:
  enum class Mode { kUp, kUnreachable, kResponsesLost };

  explicit FakeStore(ManualClock* clock) : clock_(clock) {}

  Mode mode = Mode::kUp;
  Milliseconds delay{2};
  // The clients whose calls are rejected while others are served, each named by
  // its pointer to the flag `paused`.
  std::set<const bool*> rejected_clients;
  // Whether writes are rejected, as by a store whose rate is exceeded.
  bool rejects_writes = false;
  // Number of calls by operation, including those that failed.
  std::map<std::string, int> calls;

  // Writes unconditionally and returns the new version.
  StoreVersion Write(const std::string& key, const std::string& value) {
    return WriteVersion(key, value, revision_ + 1);
  }
  // As Write(), with a version that the writer has chosen.
  StoreVersion WriteVersion(const std::string& key,
                            const std::string& value,
                            StoreVersion version) {
    ++revision_;
    objects_[key] = StoreObject{key, value, version};
    history_.emplace_back(clock_->Now(), objects_);
    return version;
  }
  // Replaces the objects by a copy of this age, begins the next era and ends
  // the pending watches. Later versions are above all earlier ones.
  void ReturnFromCopy(Milliseconds age) {
    const TimePoint copied = clock_->Now() - age;
    Copy copy;
    for (const auto& [time, objects] : history_) {
      if (time <= copied) {
        copy.objects = objects;
      }
    }
    copy.revision = FirstVersionOf(era_ + 1) - 1;
    ReturnFrom(copy);
  }

  // All objects at one moment.
  struct Copy {
    StoreVersion revision = 0;
    std::map<std::string, StoreObject> objects;
  };
  Copy MakeCopy() const { return {revision_, objects_}; }
  // As ReturnFromCopy(), for a store that assigns numbers again after the
  // revision of the copy.
  void ReturnFrom(const Copy& copy) {
    revision_ = copy.revision;
    objects_ = copy.objects;
    ++era_;
    history_.emplace_back(clock_->Now(), objects_);
    for (const Watch& watch : watches_) {
      Respond(watch.paused, [callback = watch.callback] {
        callback(std::nullopt, Timeout());
      });
    }
    watches_.clear();
  }
  uint64_t era() const { return era_; }
  StoreObject Read(const std::string& key) const {
    const auto found = objects_.find(key);
    return found == objects_.end() ? StoreObject{key, "", 0} : found->second;
  }

  // Returns a client of this store. Its responses are held back while `*paused`
  // is true; the flag must outlive the responses.
  std::unique_ptr<StoreClient> MakeClient(const bool* paused = &kNeverPaused) {
    return std::make_unique<Client>(this, paused);
  }

  // Whether the response to a watch includes the object.
  bool prefetches_objects = false;
  // Whether the table is another system's, with versions of its own.
  bool is_table_foreign = false;

  // Number of watches that wait for a change; the real store counts each of
  // them as a call. Watches whose time has run out are not included.
  size_t pending_watches() const {
    return static_cast<size_t>(std::count_if(
        watches_.begin(), watches_.end(),
        [this](const Watch& w) { return w.deadline > clock_->Now(); }));
  }

  void Deliver() {
    for (auto watch = watches_.begin(); watch != watches_.end();) {
      const StoreVersion version = Read(watch->key).version;
      const bool expired = clock_->Now() >= watch->deadline;
      if (mode != Mode::kUp || rejected_clients.contains(watch->paused)) {
        Respond(watch->paused, [callback = watch->callback] {
          callback(std::nullopt, Timeout());
        });
      } else if (version > watch->after || expired) {
        Respond(
            watch->paused,
            [callback = watch->callback,
             version = std::max(version, watch->after)] {
              callback(version, Failure{});
            },
            watch->era);
      } else {
        ++watch;
        continue;
      }
      watch = watches_.erase(watch);
    }
    for (auto due = responses_.begin();
         due != responses_.end() && due->first <= clock_->Now();) {
      if (*due->second.paused) {
        ++due;
        continue;
      }
      const auto deliver = std::move(due->second.deliver);
      responses_.erase(due);
      deliver();
      due = responses_.begin();
    }
  }

 private:
  // The era in the last response to a client.
  using SeenEra = std::shared_ptr<std::optional<uint64_t>>;

  struct Watch {
    const bool* paused;
    std::string key;
    StoreVersion after;
    TimePoint deadline;
    StoreClient::VersionCallback callback;
    SeenEra era;
  };

  struct PendingResponse {
    const bool* paused;
    std::function<void()> deliver;
  };

  static constexpr bool kNeverPaused = false;

  class Client final : public StoreClient {
   public:
    Client(FakeStore* store, const bool* paused)
        : store_(store), paused_(paused) {}

    void Get(const std::string& key, ObjectCallback callback) override {
      ++store_->calls["get " + key];
      if (const std::optional<Failure> failure = CurrentFailure()) {
        store_->Respond(
            paused_, [callback, failure] { callback(std::nullopt, *failure); });
        return;
      }
      store_->Respond(
          paused_,
          [callback, object = store_->Read(key)] {
            callback(object, Failure{});
          },
          era_);
    }
    void Put(const std::string& key,
             const std::string& value,
             StoreVersion if_version,
             VersionCallback callback) override {
      ++store_->calls["put " + key];
      if (store_->mode == Mode::kUnreachable) {
        store_->Respond(paused_,
                        [callback] { callback(std::nullopt, Unreachable()); });
        return;
      }
      if (store_->rejects_writes) {
        store_->Respond(
            paused_,
            [callback] {
              callback(std::nullopt,
                       {FailureCode::kStoreRejected, "key", "rate exceeded"});
            },
            era_);
        return;
      }
      if (store_->Read(key).version != if_version ||
          era_->value_or(store_->era_) != store_->era_) {
        store_->Respond(
            paused_,
            [callback] {
              callback(std::nullopt,
                       {FailureCode::kConflict, "key", "changed"});
            },
            era_);
        return;
      }
      const StoreVersion version = store_->Write(key, value);
      if (store_->mode == Mode::kResponsesLost) {
        store_->Respond(paused_,
                        [callback] { callback(std::nullopt, Timeout()); });
      } else {
        store_->Respond(
            paused_, [callback, version] { callback(version, Failure{}); },
            era_);
      }
    }
    void Delete(const std::string&, StoreVersion, VersionCallback) override {}
    void Watch(const std::string& key,
               StoreVersion after,
               Milliseconds timeout,
               VersionCallback callback) override {
      ++store_->calls["watch " + key];
      if (const std::optional<Failure> failure = CurrentFailure()) {
        store_->Respond(
            paused_, [callback, failure] { callback(std::nullopt, *failure); });
        return;
      }
      const bool knows_era = era_->value_or(store_->era_) == store_->era_;
      store_->watches_.push_back(FakeStore::Watch{
          paused_, key, after,
          store_->clock_->Now() + (knows_era ? timeout : Milliseconds(0)),
          callback, era_});
    }
    std::optional<StoreObject> TakePrefetched(const std::string& key) override {
      return store_->prefetches_objects ? std::optional(store_->Read(key))
                                        : std::nullopt;
    }
    void List(const std::string&,
              const std::string&,
              int,
              ListCallback) override {}
    std::optional<uint64_t> era() const override { return *era_; }
    bool CanWriteTable() const override { return !store_->is_table_foreign; }

   private:
    // Returns why the store does not serve this client now, if so.
    std::optional<Failure> CurrentFailure() const {
      if (store_->mode != Mode::kUp) {
        return store_->mode == Mode::kUnreachable ? Unreachable() : Timeout();
      }
      if (store_->rejected_clients.contains(paused_)) {
        return Failure{FailureCode::kStoreRejected, "store", "turned away"};
      }
      return std::nullopt;
    }

    FakeStore* const store_;
    const bool* const paused_;
    const SeenEra era_ = std::make_shared<std::optional<uint64_t>>();
  };

  static Failure Unreachable() {
    return {FailureCode::kStoreUnreachable, "store", "outage"};
  }
  static Failure Timeout() {
    return {FailureCode::kStoreTimeout, "store", "no response"};
  }
  // `seen_era` is null for a failure without a response.
  void Respond(const bool* paused,
               std::function<void()> deliver,
               const SeenEra& seen_era = nullptr) {
    if (seen_era != nullptr) {
      deliver = [seen_era, era = era_, deliver = std::move(deliver)] {
        *seen_era = std::max(*seen_era, std::optional(era));
        deliver();
      };
    }
    responses_.emplace(clock_->Now() + delay,
                       PendingResponse{paused, std::move(deliver)});
  }

  ManualClock* const clock_;
  StoreVersion revision_ = 0;
  uint64_t era_ = 0;
  std::map<std::string, StoreObject> objects_;
  // The objects after each change.
  std::vector<std::pair<TimePoint, std::map<std::string, StoreObject>>>
      history_;
  std::list<Watch> watches_;
  std::multimap<TimePoint, PendingResponse> responses_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_FAKE_STORE_H_
