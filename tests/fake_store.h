#ifndef DRAGONFLYTACK_TESTS_FAKE_STORE_H_
#define DRAGONFLYTACK_TESTS_FAKE_STORE_H_

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dragonflytack/base/manual_clock.h"
#include "dragonflytack/store/store_client.h"

namespace dragonflytack {

// An object store in memory for tests, with faults. Answers are given by
// Deliver(), in the order in which they fall due.
class FakeStore final {
 public:
  enum class Mode { kUp, kUnreachable, kAnswersLost };

  explicit FakeStore(ManualClock* clock) : clock_(clock) {}

  Mode mode = Mode::kUp;
  Milliseconds delay{2};
  // Calls that reached the store or failed to, by operation.
  std::map<std::string, int> calls;

  // Writes past all conditions and returns the version.
  StoreVersion Write(const std::string& key, const std::string& value) {
    objects_[key] = StoreObject{key, value, ++revision_};
    return revision_;
  }
  StoreObject Read(const std::string& key) const {
    const auto found = objects_.find(key);
    return found == objects_.end() ? StoreObject{key, "", 0} : found->second;
  }

  // Returns a client that shares this store. Its answers wait while `*paused`
  // is set, which must outlive them.
  std::unique_ptr<StoreClient> MakeClient(const bool* paused = &kNeverPaused) {
    return std::make_unique<Client>(this, paused);
  }

  // Whether an answer to a watch brings the object along.
  bool brings_objects = false;

  // Watches that wait for a change; each counts as a call at the real store.
  // A watch with no time to wait does not count.
  size_t waiting_watches() const {
    return static_cast<size_t>(std::count_if(
        watches_.begin(), watches_.end(),
        [this](const Watch& w) { return w.deadline > clock_->Now(); }));
  }

  void Deliver() {
    for (auto watch = watches_.begin(); watch != watches_.end();) {
      const StoreVersion version = Read(watch->key).version;
      const bool expired = clock_->Now() >= watch->deadline;
      if (mode != Mode::kUp) {
        Answer(watch->paused, [callback = watch->callback] {
          callback(std::nullopt, Lost());
        });
      } else if (version > watch->after || expired) {
        Answer(watch->paused, [callback = watch->callback,
                               version = std::max(version, watch->after)] {
          callback(version, Failure{});
        });
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
      const auto give = std::move(due->second.give);
      responses_.erase(due);
      give();
      due = responses_.begin();
    }
  }

 private:
  struct Watch {
    const bool* paused;
    std::string key;
    StoreVersion after;
    TimePoint deadline;
    StoreClient::VersionCallback callback;
  };

  struct PendingAnswer {
    const bool* paused;
    std::function<void()> give;
  };

  static constexpr bool kNeverPaused = false;

  class Client final : public StoreClient {
   public:
    Client(FakeStore* store, const bool* paused)
        : store_(store), paused_(paused) {}

    void Get(const std::string& key, ObjectCallback callback) override {
      ++store_->calls["get " + key];
      if (store_->mode != Mode::kUp) {
        store_->Answer(paused_, [store = store_, callback] {
          callback(std::nullopt, store->Fault());
        });
        return;
      }
      store_->Answer(paused_, [callback, object = store_->Read(key)] {
        callback(object, Failure{});
      });
    }
    void Put(const std::string& key,
             const std::string& value,
             StoreVersion if_version,
             VersionCallback callback) override {
      ++store_->calls["put " + key];
      if (store_->mode == Mode::kUnreachable) {
        store_->Answer(paused_,
                       [callback] { callback(std::nullopt, Unreachable()); });
        return;
      }
      if (store_->Read(key).version != if_version) {
        store_->Answer(paused_, [callback] {
          callback(std::nullopt, {FailureCode::kConflict, "key", "changed"});
        });
        return;
      }
      const StoreVersion version = store_->Write(key, value);
      if (store_->mode == Mode::kAnswersLost) {
        store_->Answer(paused_, [callback] { callback(std::nullopt, Lost()); });
      } else {
        store_->Answer(paused_,
                       [callback, version] { callback(version, Failure{}); });
      }
    }
    void Delete(const std::string&, StoreVersion, VersionCallback) override {}
    void Watch(const std::string& key,
               StoreVersion after,
               Milliseconds timeout,
               VersionCallback callback) override {
      ++store_->calls["watch " + key];
      if (store_->mode != Mode::kUp) {
        store_->Answer(paused_, [store = store_, callback] {
          callback(std::nullopt, store->Fault());
        });
        return;
      }
      store_->watches_.push_back(FakeStore::Watch{
          paused_, key, after, store_->clock_->Now() + timeout, callback});
    }
    std::optional<StoreObject> TakePrefetched(const std::string& key) override {
      return store_->brings_objects ? std::optional(store_->Read(key))
                                    : std::nullopt;
    }
    void List(const std::string&,
              const std::string&,
              int,
              ListCallback) override {}

   private:
    FakeStore* const store_;
    const bool* const paused_;
  };

  static Failure Unreachable() {
    return {FailureCode::kStoreUnreachable, "store", "outage"};
  }
  static Failure Lost() {
    return {FailureCode::kStoreTimeout, "store", "no answer"};
  }
  Failure Fault() const {
    return mode == Mode::kUnreachable ? Unreachable() : Lost();
  }
  void Answer(const bool* paused, std::function<void()> give) {
    responses_.emplace(clock_->Now() + delay,
                       PendingAnswer{paused, std::move(give)});
  }

  ManualClock* const clock_;
  StoreVersion revision_ = 0;
  std::map<std::string, StoreObject> objects_;
  std::list<Watch> watches_;
  std::multimap<TimePoint, PendingAnswer> responses_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_FAKE_STORE_H_
