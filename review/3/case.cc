// DRAIN: after a report of another writer with fields of another type, the
// daemon acknowledges the leaving of its endpoint, but does not act on it.
#include <atomic>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "small_fleet.h"

namespace {

using review::Endpoint;
using review::Report;
using review::Route;

constexpr double kDrainSeconds = 2;
constexpr int kDeadlineMs = 1200;

int Run(review::Record* record, bool with_trouble) {
  const Route route{"r-book", "book.example", "/book/",  "unsafe",
                    "1200ms", "300ms",        "booking", 2};
  review::SmallFleet fleet(
      {.services = {"roster", "booking", "booking"}, .routes = {route}},
      record);
  if (!fleet.Start()) {
    return 2;
  }
  std::atomic<bool> stop = false;
  std::thread client([&] {
    for (int i = 0; !stop; ++i) {
      review::Call(fleet.ip(0), route, "POST", "book" + std::to_string(i),
                   kDeadlineMs, record);
    }
  });
  Endpoint& leaving = fleet.endpoint(1);
  review::SleepFor(1);
  if (with_trouble) {
    // Written by another program: `version` is a number and `zone` is missing.
    Report foreign = leaving.MakeHeartbeat("ready");
    nlohmann::json body = nlohmann::json::parse(foreign.body);
    body["info"]["version"] = 7;
    body["info"].erase("zone");
    body["status"]["seq"] = 5000;
    foreign.body = body.dump();
    record->Line("another writer sends %s: answer %d", foreign.body.c_str(),
                 leaving.Send(foreign));
  }
  review::SleepFor(0.5);
  bool acknowledged = leaving.Beat("draining");
  const double acknowledged_at = record->Now();
  // It serves for `drain` after the acknowledgement and some seconds longer.
  review::SleepFor(kDrainSeconds + 3);
  leaving.Deregister();
  leaving.Exit();
  stop = true;
  client.join();
  int late = 0;
  for (const Endpoint::Arrival& arrival : leaving.TakeArrivals()) {
    const double after = arrival.at - acknowledged_at;
    if (after > kDrainSeconds) {
      ++late;
      record->Line("DRAIN: %s reached endpoint 2 %.3f s after the ack",
                   arrival.attempt.c_str(), after);
    }
  }
  record->Line(
      "%d requests reached the endpoint later than %.1f s after the "
      "acknowledgement",
      late, kDrainSeconds);
  return !acknowledged ? 2 : late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, Run);
}
