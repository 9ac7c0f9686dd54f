// CONFIG: after the open connections to the store have gone silent, a later
// version is in force too late.
#include <algorithm>
#include <string>
#include <vector>

#include "small_fleet.h"

namespace {

using review::Answer;
using review::Route;

constexpr double kApplySeconds = 2;
constexpr int kDeadlineMs = 1000;

int Run(review::Record* record, bool with_trouble) {
  const Route view{"r-view", "view.example", "/view/", "safe",
                   "1000ms", "250ms",        "roster", 2};
  Route moved{"r-look", "look.example", "/look/", "safe",
              "1000ms", "250ms",        "roster", 2};
  review::SmallFleet fleet({.services = {"roster", "booking", "roster"},
                            .routes = {view, moved},
                            .with_relays = true},
                           record);
  if (!fleet.Start()) {
    return 2;
  }
  // A first change, after which all watches begin anew.
  Route changed = view;
  changed.timeout = "900ms";
  fleet.store().Configure(fleet.Configuration(7, {changed, moved}));
  record->Line("version 7 is acknowledged");
  review::SleepFor(0.6);
  if (with_trouble) {
    for (size_t i = 0; i < fleet.size(); ++i) {
      fleet.relay(i).SilenceOpen();
    }
    record->Line("the open connections to the store go silent");
  }
  review::SleepFor(review::kSettleSeconds + 0.2);
  moved.service = "booking";
  fleet.store().Configure(fleet.Configuration(11, {changed, moved}));
  const double acknowledged_at = record->Now();
  record->Line("version 11 is acknowledged: /look/ goes to booking");
  review::SleepFor(kApplySeconds + 0.05);
  int old = 0;
  int sent = 0;
  while (record->Now() < acknowledged_at + kApplySeconds + 3) {
    for (size_t i = 0; i < 3; ++i) {
      const Answer answer =
          review::Call(fleet.ip(i), moved, "GET", "look" + std::to_string(sent),
                       kDeadlineMs, record);
      ++sent;
      if (answer.body == "from roster") {
        ++old;
        record->Line(
            "CONFIG: %s was sent %.3f s after the ack and run by the "
            "old service",
            answer.attempt.c_str(), answer.sent_at - acknowledged_at);
      }
    }
  }
  record->Line(
      "%d of %d requests sent later than %.1f s after the "
      "acknowledgement were run by the old service",
      old, sent, kApplySeconds);
  return old > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, Run);
}
