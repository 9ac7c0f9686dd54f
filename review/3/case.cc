// CONFIG: while the store turns the machines away that watch it, no other
// machine watches in their place, and no machine hears of a new version.
#include <string>
#include <vector>

#include "small_fleet.h"

namespace {

using review::Answer;
using review::Route;

constexpr double kApplySeconds = 2;
constexpr double kMaxStretchSeconds = 5;
constexpr double kTurnAwaySeconds = 9;
constexpr int kDeadlineMs = 1000;

int Run(review::Record* record, bool with_trouble) {
  Route moved{"r-look", "look.example", "/look/", "safe",
              "1000ms", "250ms",        "roster", 2};
  review::SmallFleet fleet({.services = {"roster", "booking", "roster",
                                         "booking", "roster", "booking"},
                            .routes = {moved},
                            .with_relays = true,
                            .in_one_zone = true},
                           record);
  if (!fleet.Start()) {
    return 2;
  }
  // At most 0.35 of the machines are turned away.
  std::vector<size_t> turned_away;
  std::vector<size_t> others;
  for (size_t i = 0; i < fleet.size(); ++i) {
    (fleet.relay(i).carries_watch() && turned_away.size() < 2 ? turned_away
                                                              : others)
        .push_back(i);
  }
  for (const size_t i : turned_away) {
    record->Line("node %s watches the store",
                 fleet.node(i).options().id.c_str());
    if (with_trouble) {
      fleet.relay(i).set_turns_away(true);
      record->Line("the store answers 503 to node %s from now on",
                   fleet.node(i).options().id.c_str());
    }
  }
  const double begin = record->Now();
  review::SleepFor(0.3);
  moved.service = "booking";
  fleet.store().Configure(fleet.Configuration(7, {moved}));
  const double acknowledged_at = record->Now();
  record->Line("version 7 is acknowledged: /look/ goes to booking");
  review::SleepFor(kApplySeconds + kMaxStretchSeconds + 0.1);
  int old = 0;
  int sent = 0;
  while (record->Now() < begin + kTurnAwaySeconds - 0.2) {
    for (const size_t i : others) {
      const Answer answer =
          review::Call(fleet.ip(i), moved, "GET", "look" + std::to_string(sent),
                       kDeadlineMs, record);
      ++sent;
      if (answer.body == "from roster") {
        ++old;
        record->Line(
            "CONFIG: %s was sent %.3f s after the ack by a machine "
            "that the store serves, and run by the old service",
            answer.attempt.c_str(), answer.sent_at - acknowledged_at);
      }
    }
  }
  for (const size_t i : turned_away) {
    fleet.relay(i).set_turns_away(false);
  }
  record->Line(
      "%d of %d requests sent later than %.1f s after the "
      "acknowledgement were run by the old service",
      old, sent, kApplySeconds + kMaxStretchSeconds);
  return old > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, Run);
}
