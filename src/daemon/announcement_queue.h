#ifndef DRAGONFLYTACK_DAEMON_ANNOUNCEMENT_QUEUE_H_
#define DRAGONFLYTACK_DAEMON_ANNOUNCEMENT_QUEUE_H_

#include <functional>
#include <list>

#include "daemon/announcement_callback.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/registry/target_run.h"

namespace dragonflytack {

class Logger;

// Decides when an announcement of the local target takes effect and when it is
// acknowledged. A departure takes effect at once and is acknowledged when it is
// stored, so that it outlives all processes. Any other announcement waits until
// this process knows the departures that earlier ones acknowledged.
class AnnouncementQueue final {
 public:
  // Targets do not wait for a response for more than a second.
  static constexpr Milliseconds kReplyTimeout{800};
  // A target sends an announcement when the previous one has been answered.
  static constexpr size_t kMaxWaiting = 16;

  // None of the functions may destroy the queue.
  struct Functions {
    // Whether the departures that earlier processes acknowledged are known.
    std::function<bool()> knows_departures;
    // Lets an announcement take effect. Returns a failure other than kNone if
    // it is refused. May call Update().
    std::function<Failure(const LocalTarget&)> apply;
    // The last run whose departure took effect.
    std::function<TargetRun()> departure;
    std::function<bool(const TargetRun&)> is_stored;
  };

  // `timers` and `logger` must outlive the object.
  AnnouncementQueue(TimerService* timers, Logger* logger, Functions functions);
  ~AnnouncementQueue();
  AnnouncementQueue(const AnnouncementQueue&) = delete;
  AnnouncementQueue& operator=(const AnnouncementQueue&) = delete;

  // Calls `reply` before it returns, from within Update(), or from a timer.
  void Handle(const LocalTarget& target, AnnouncementReply reply);

  // Continues with the waiting announcements. Called when the result of
  // `knows_departures` or `is_stored` may have changed.
  void Update();

 private:
  struct Waiting {
    LocalTarget target;
    AnnouncementReply reply;
    TimerId timer = 0;
    // The departure that has to be stored, empty before it has taken effect.
    TargetRun run;
  };
  using Position = std::list<Waiting>::iterator;

  // Whether the announcement takes effect without knowledge of departures.
  static bool IsImmediate(const LocalTarget& target);
  // Lets the announcement take effect and replies unless it has to be stored.
  // Returns the next position.
  Position Apply(Position item);
  // Removes the announcement and replies. Returns the next position.
  Position Reply(Position item, const Failure& result);
  void OnTimeout(Position item);

  TimerService* const timers_;
  Logger* const logger_;
  const Functions functions_;
  std::list<Waiting> waiting_;
  bool is_updating_ = false;
  // Whether Update() was called from within one of the functions.
  bool is_outdated_ = false;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ANNOUNCEMENT_QUEUE_H_
