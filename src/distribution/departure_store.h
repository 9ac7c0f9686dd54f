#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_DEPARTURE_STORE_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_DEPARTURE_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "distribution/backoff.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/registry/target_run.h"
#include "dragonflytack/store/store_object.h"

namespace dragonflytack {

class Logger;
class ThrottledStoreClient;

// Keeps the departure of this node's target in the store object
// "departures/<node id>", so that it outlives the end of all processes.
class DepartureStore final {
 public:
  // Spreads the reads of nodes that start together.
  static constexpr Milliseconds kMaxStartDelay{500};
  // Time from Start() after which the store counts as away.
  static constexpr Milliseconds kMaxResponseTime{1'000};
  // Spreads the repeated writes of all nodes after the store has come back from
  // an older copy.
  static constexpr Milliseconds kMaxRewriteDelay{10'000};

  using RunCallback = std::function<void(const TargetRun&)>;

  // `on_read` is called with a departure that the object has. `on_changed` is
  // called when is_read(), is_overdue() or the result of Holds() may have
  // changed. Both are
  // called from responses of the store and may call Write(), but must not
  // destroy the object. The pointers must outlive it. `seed` initializes the
  // random delays.
  DepartureStore(const NodeId& node,
                 ThrottledStoreClient* store,
                 TimerService* timers,
                 uint64_t seed,
                 Logger* logger,
                 RunCallback on_read,
                 std::function<void()> on_changed);
  ~DepartureStore();
  DepartureStore(const DepartureStore&) = delete;
  DepartureStore& operator=(const DepartureStore&) = delete;

  // Reads the object soon, and again until the store has responded.
  void Start();

  // Writes the departure until the store holds it or a later one. `run` must
  // not be empty and must not be earlier than one that was written before.
  void Write(const TargetRun& run);

  // Reads and writes the object again if the store has come back from an older
  // copy, which may lack it. Called periodically.
  void Tick();

  // Whether the store has returned all departures that were acknowledged before
  // Start(). Stays false if the object is malformed, or if it may be that of an
  // older copy.
  bool is_read() const { return is_read_; }

  // Whether a read has failed or has no such result, or is_read() has not
  // become true in kMaxResponseTime.
  bool is_overdue() const { return is_overdue_; }

  // Whether the store holds the departure of this run, or of a later one.
  bool Holds(const TargetRun& run) const;

 private:
  void SetOverdue();
  // Makes the next call to the store, if one is needed.
  void Step();
  void StepAfter(Milliseconds delay);
  void Read();
  void OnRead(const StoreObject& object);
  void Put();
  // Whether the store, in its present era, has acknowledged each write of an
  // object with this version, or its absence.
  bool IsOfPresentEra(StoreVersion version) const;

  const std::string key_;
  ThrottledStoreClient* const store_;
  TimerService* const timers_;
  Random random_;
  Logger* const logger_;
  const RunCallback on_read_;
  const std::function<void()> on_changed_;
  Backoff backoff_{Milliseconds(100), Milliseconds(2'000)};
  // The object as it was read or written last, in `era_` of the store;
  // std::nullopt if it has to be read before the next write.
  std::optional<StoreVersion> version_;
  TargetRun stored_;
  uint64_t era_ = 0;
  // The departure to be written; empty if there was none.
  TargetRun wanted_;
  bool is_read_ = false;
  bool is_overdue_ = false;
  bool is_calling_ = false;
  TimerId step_timer_ = 0;
  TimerId overdue_timer_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_DEPARTURE_STORE_H_
