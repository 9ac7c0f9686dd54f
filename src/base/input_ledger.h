#ifndef DRAGONFLYTACK_SRC_BASE_INPUT_LEDGER_H_
#define DRAGONFLYTACK_SRC_BASE_INPUT_LEDGER_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <unordered_set>

#include "base/buffer_budget.h"
#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// What a connection does. A request that is being handled ends the phase
// kBody.
enum class InputPhase { kIdle, kHead, kBody, kHandling, kResponding };

// Why a connection was dropped.
enum class DropCause {
  kBudget,
  kHeadTimeout,
  kBodyTimeout,
  kHeadTooLarge,
  kConnectionLimit
};

// Returns the name for metrics and logs.
const char* DropCauseName(DropCause cause);

class InputLedger;

// An accepted connection, as far as the ledger knows it.
class InputSender {
 public:
  // Registers the connection. `ledger` must outlive it.
  InputSender(InputLedger* ledger, TimePoint now);
  virtual ~InputSender();
  InputSender(const InputSender&) = delete;
  InputSender& operator=(const InputSender&) = delete;

  // Ends the connection and releases its share. The ledger calls it from within
  // Received(); the object must not be destroyed in it.
  virtual void Drop(DropCause cause) = 0;

  InputPhase phase() const { return phase_; }
  size_t bytes() const { return share_.bytes(); }
  TimePoint last_progress() const { return last_progress_; }
  // Whether a response was written on the connection.
  bool served() const { return served_; }
  bool dropped() const { return dropped_; }

  // Begins a phase.
  void Enter(InputPhase phase, TimePoint now) {
    phase_ = phase;
    phase_start_ = last_progress_ = now;
  }
  // Moves the times forward by a pause of the process.
  void Postpone(TimePoint::duration pause) {
    phase_start_ += pause;
    last_progress_ += pause;
  }

 protected:
  friend class InputLedger;

  // Counts bytes that the connection holds from now on, or no longer.
  void Hold(size_t bytes);
  void Remove(size_t bytes);
  void Release() { Remove(bytes()); }

  InputLedger* const ledger_;
  BufferBudget::Share share_;
  InputPhase phase_ = InputPhase::kIdle;
  TimePoint phase_start_;
  TimePoint last_progress_;
  bool served_ = false;
  bool dropped_ = false;
};

// Decides which connections are dropped: those that hold the most when the
// budget is used up, beginning with the ones that make no progress, and those
// that exceed a time limit. All connections of one thread share one ledger. It
// does no I/O.
class InputLedger final {
 public:
  struct Limits {
    // For a complete head from its first byte on.
    Milliseconds head_timeout{5'000};
    // Longest time without a byte of a body.
    Milliseconds body_timeout{10'000};
  };

  // A response is cut off only if its reader takes nothing for this long,
  // because its call has run.
  static constexpr Milliseconds kReaderStalled{3'000};

  // `budget` must outlive the ledger and is used on its thread only.
  InputLedger(BufferBudget* budget, const Limits& limits)
      : budget_(budget), limits_(limits) {}
  InputLedger(const InputLedger&) = delete;
  InputLedger& operator=(const InputLedger&) = delete;

  // Counts bytes that have arrived on a connection, and drops connections until
  // the budget suffices for all. May drop `sender`.
  void Received(InputSender* sender, size_t bytes, TimePoint now);

  // Returns why the connection has to be dropped now, if it has exceeded a time
  // limit.
  std::optional<DropCause> FindOverdue(const InputSender& sender,
                                       TimePoint now) const;

  BufferBudget* budget() const { return budget_; }

  // Accepted connections may always hold this much: a body of 4 MB at the call
  // port and again at the mesh port of a node that calls its own target, with
  // the heads and framing.
  static constexpr size_t kGuaranteedBytes = 9 << 20;

  // The part of the budget that accepted connections may use. The rest is left
  // to the responses of targets and nodes, so that calls can end.
  size_t limit() const {
    return std::max(budget_->limit() / 4 * 3, kGuaranteedBytes);
  }
  // The bytes that accepted connections hold.
  size_t held() const { return held_; }

 private:
  friend class InputSender;

  // Whether accepted connections hold too much. They may always hold a quarter
  // of the budget, so that responses without end stop no requests.
  bool IsOver() const {
    return held_ > limit() ||
           (budget_->held() > budget_->limit() &&
            held_ > std::max(budget_->limit() / 4, kGuaranteedBytes));
  }
  // Returns the connection that is dropped first; null if none may be dropped.
  InputSender* ChooseVictim(TimePoint now) const;

  BufferBudget* const budget_;
  const Limits limits_;
  std::unordered_set<InputSender*> senders_;
  size_t held_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_BASE_INPUT_LEDGER_H_
