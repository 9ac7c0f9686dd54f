#include "base/input_ledger.h"

#include <tuple>

namespace dragonflytack {

namespace {

// A sender that pauses for this long makes way for others. TCP resends a lost
// segment within a second between the most distant hosts.
constexpr Milliseconds kStalled{1'000};

}  // namespace

const char* DropCauseName(DropCause cause) {
  switch (cause) {
    case DropCause::kBudget:
      return "budget";
    case DropCause::kHeadTimeout:
      return "head_timeout";
    case DropCause::kBodyTimeout:
      return "body_timeout";
    case DropCause::kHeadTooLarge:
      return "head_too_large";
    case DropCause::kConnectionLimit:
      return "connection_limit";
  }
  return "";
}

InputSender::InputSender(InputLedger* ledger, TimePoint now)
    : ledger_(ledger),
      share_(ledger->budget()),
      phase_start_(now),
      last_progress_(now) {
  ledger_->senders_.insert(this);
}

InputSender::~InputSender() {
  Release();
  ledger_->senders_.erase(this);
}

void InputSender::Hold(size_t bytes) {
  share_.Add(bytes);
  ledger_->held_ += bytes;
}

void InputSender::Remove(size_t bytes) {
  share_.Remove(bytes);
  ledger_->held_ -= bytes;
}

void InputLedger::Received(InputSender* sender, size_t bytes, TimePoint now) {
  sender->Hold(bytes);
  if (sender->phase_ != InputPhase::kResponding) {
    sender->last_progress_ = now;
  }
  while (IsOver()) {
    InputSender* const victim = ChooseVictim(now);
    if (victim == nullptr) {
      return;
    }
    victim->Drop(DropCause::kBudget);
    if (sender->dropped()) {
      return;
    }
  }
}

std::optional<DropCause> InputLedger::FindOverdue(const InputSender& sender,
                                                  TimePoint now) const {
  if (sender.phase_ == InputPhase::kHead &&
      now - sender.phase_start_ > limits_.head_timeout) {
    return DropCause::kHeadTimeout;
  }
  if (sender.phase_ == InputPhase::kBody &&
      now - sender.last_progress_ > limits_.body_timeout) {
    return DropCause::kBodyTimeout;
  }
  return std::nullopt;
}

InputSender* InputLedger::ChooseVictim(TimePoint now) const {
  InputSender* victim = nullptr;
  std::tuple<bool, size_t> highest;
  for (InputSender* const sender : senders_) {
    const auto pause = now - sender->last_progress_;
    const bool receiving = sender->phase_ == InputPhase::kHead ||
                           sender->phase_ == InputPhase::kBody;
    const bool unread = sender->phase_ == InputPhase::kResponding &&
                        pause >= InputLedger::kReaderStalled;
    if (sender->dropped_ || sender->bytes() == 0 || !(receiving || unread)) {
      continue;
    }
    const std::tuple<bool, size_t> order(pause >= kStalled, sender->bytes());
    if (victim == nullptr || order > highest) {
      victim = sender;
      highest = order;
    }
  }
  return victim;
}

}  // namespace dragonflytack
