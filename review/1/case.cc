// UNASKED: after a version that removes the last route, requests of that route
// still run, at a service that their path names, and with another path.
#include <string>
#include <vector>

#include "small_fleet.h"

namespace {

using review::Endpoint;
using review::Route;

constexpr double kApplySeconds = 2;
constexpr int kDeadlineMs = 1200;
constexpr int kCalls = 12;

int Run(review::Record* record, bool with_trouble) {
  const Route book{"r-book", "book.example", "/booking/", "unsafe",
                   "1200ms", "300ms",        "booking",   2};
  const Route view{"r-view", "view.example", "/view/", "safe",
                   "1000ms", "250ms",        "roster", 2};
  const std::vector<Route> first =
      with_trouble ? std::vector<Route>{book} : std::vector<Route>{book, view};
  review::SmallFleet fleet(
      {.services = {"roster", "booking", "booking"}, .routes = first}, record);
  if (!fleet.Start()) {
    return 2;
  }
  if (review::Call(fleet.ip(0), book, "POST", "first", kDeadlineMs, record)
          .body != "from booking") {
    return 2;
  }
  fleet.store().Configure(fleet.Configuration(
      7, with_trouble ? std::vector<Route>{} : std::vector<Route>{view}));
  const double acknowledged_at = record->Now();
  record->Line("version 7 is acknowledged: the route of /booking/ is removed");
  review::SleepFor(kApplySeconds + 0.5);
  for (int i = 0; i < kCalls; ++i) {
    review::Call(fleet.ip(static_cast<size_t>(i) % 3), book, "POST",
                 "book" + std::to_string(i), kDeadlineMs, record);
  }
  int changed = 0;
  int dropped = 0;
  for (size_t i = 0; i < fleet.size(); ++i) {
    for (const Endpoint::Arrival& arrival : fleet.endpoint(i).TakeArrivals()) {
      if (arrival.ran && arrival.target != "/booking/x") {
        ++changed;
        record->Line("UNASKED: %s for /booking/x ran as %s",
                     arrival.attempt.c_str(), arrival.target.c_str());
      }
      if (arrival.ran && arrival.at > acknowledged_at + kApplySeconds) {
        ++dropped;
        record->Line("CONFIG: %s ran %.3f s after its route was dropped",
                     arrival.attempt.c_str(), arrival.at - acknowledged_at);
      }
    }
  }
  record->Line(
      "of %d requests on the dropped route, %d ran, %d of them with "
      "another path",
      kCalls, dropped, changed);
  return changed > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, Run);
}
