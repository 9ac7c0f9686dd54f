#include "daemon/announcement_queue.h"

#include <string>
#include <utility>

#include "dragonflytack/base/logger.h"
#include "net/record_json.h"

namespace dragonflytack {

namespace {

bool IsLeaving(const LocalTarget& target) {
  return target.state == TargetState::kDraining ||
         target.state == TargetState::kLeft;
}

}  // namespace

AnnouncementQueue::AnnouncementQueue(TimerService* timers,
                                     Logger* logger,
                                     Functions functions)
    : timers_(timers), logger_(logger), functions_(std::move(functions)) {}

AnnouncementQueue::~AnnouncementQueue() {
  for (const Waiting& item : waiting_) {
    timers_->Cancel(item.timer);
  }
}

bool AnnouncementQueue::IsImmediate(const LocalTarget& target) {
  // Runs without a name cannot be told apart, so none of them has departed.
  return IsLeaving(target) || target.instance.empty();
}

void AnnouncementQueue::Handle(const LocalTarget& target,
                               AnnouncementReply reply) {
  if (waiting_.size() >= kMaxWaiting) {
    reply({FailureCode::kOverloaded, target.instance,
           "too many announcements wait for the store"});
    return;
  }
  waiting_.push_back({target, std::move(reply)});
  const Position item = std::prev(waiting_.end());
  item->timer = timers_->SubscribeOnce(kReplyTimeout, [this, item] {
    item->timer = 0;
    OnTimeout(item);
  });
  Update();
}

void AnnouncementQueue::Update() {
  is_outdated_ = true;
  if (std::exchange(is_updating_, true)) {
    return;
  }
  while (std::exchange(is_outdated_, false)) {
    for (Position item = waiting_.begin(); item != waiting_.end();) {
      if (!item->run.empty()) {
        item = functions_.is_stored(item->run) ? Reply(item, Failure())
                                               : std::next(item);
      } else if (IsImmediate(item->target) || functions_.knows_departures()) {
        item = Apply(item);
      } else {
        ++item;
      }
    }
  }
  is_updating_ = false;
}

AnnouncementQueue::Position AnnouncementQueue::Apply(Position item) {
  const Failure result = functions_.apply(item->target);
  if (result.code != FailureCode::kNone || !IsLeaving(item->target)) {
    return Reply(item, result);
  }
  item->run = functions_.departure();
  if (item->target.instance.empty() || functions_.is_stored(item->run)) {
    return Reply(item, Failure());
  }
  return std::next(item);
}

AnnouncementQueue::Position AnnouncementQueue::Reply(Position item,
                                                     const Failure& result) {
  timers_->Cancel(item->timer);
  const AnnouncementReply reply = std::move(item->reply);
  const Position next = waiting_.erase(item);
  reply(result);
  return next;
}

void AnnouncementQueue::OnTimeout(Position item) {
  const bool is_applied = !item->run.empty();
  logger_->Warning(
      "announcement_unconfirmed",
      {{"instance", item->target.instance},
       {"state", std::string(TargetStateName(item->target.state))},
       {"after_ms", int64_t{kReplyTimeout.count()}},
       {"cause", is_applied ? "the store has not acknowledged the departure"
                            : "neither the store nor a peer has reported the "
                              "departures of earlier runs"}});
  if (is_applied) {
    Reply(item, {FailureCode::kStoreUnreachable, item->target.instance,
                 "the departure is in force, but not stored yet"});
    return;
  }
  is_updating_ = true;
  Apply(item);
  is_updating_ = false;
  if (is_outdated_) {
    Update();
  }
}

}  // namespace dragonflytack
