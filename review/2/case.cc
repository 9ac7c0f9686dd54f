// DRAIN: calls that wait in the queue beside an endpoint are sent to it long
// after its leaving was acknowledged.
#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "small_fleet.h"

namespace {

using review::Answer;
using review::Endpoint;
using review::Route;

constexpr double kDrainSeconds = 2;
constexpr int kDeadlineMs = 4000;
constexpr int kSlots = 4;
constexpr double kWorkSeconds = 0.31;
// What the two endpoints can serve; the burst is 1.77 times that for 3.87 s.
constexpr double kUsualPerSecond = 2 * kSlots / kWorkSeconds;
constexpr double kBurst = 1.77;
constexpr double kBurstSeconds = 3.87;
constexpr double kUsualSeconds = 3;

int Run(review::Record* record, bool with_trouble) {
  const Route route{"r-book", "book.example", "/book/",  "unsafe",
                    "4000ms", "3500ms",       "booking", 2};
  review::SmallFleet fleet({.services = {"roster", "booking", "booking"},
                            .routes = {route},
                            .slots = kSlots,
                            .work_s = kWorkSeconds},
                           record);
  if (!fleet.Start()) {
    return 2;
  }
  for (int i = 0; i < 8; ++i) {
    if (review::Call(fleet.ip(0), route, "POST", "warm" + std::to_string(i),
                     kDeadlineMs, record)
            .status != 200) {
      record->Line("cannot run: a first call was not served");
      return 2;
    }
  }
  constexpr int kUsualCalls = static_cast<int>(kUsualPerSecond * kUsualSeconds);
  constexpr int kCalls =
      kUsualCalls + static_cast<int>(kUsualPerSecond * kBurst * kBurstSeconds);
  std::vector<Answer> answers(kCalls);
  std::vector<std::thread> clients;
  const double begin = record->Now();
  for (int i = 0; i < kCalls; ++i) {
    const double at =
        i < kUsualCalls
            ? i / kUsualPerSecond
            : kUsualSeconds + (i - kUsualCalls) / (kUsualPerSecond * kBurst);
    review::SleepFor(begin + at - record->Now());
    clients.emplace_back([&, i] {
      answers[i] =
          review::Call(fleet.ip(0), route, "POST", "book" + std::to_string(i),
                       kDeadlineMs, record);
    });
  }
  Endpoint& leaving = fleet.endpoint(1);
  const bool acknowledged = with_trouble && leaving.Beat("draining");
  const double acknowledged_at = record->Now();
  if (acknowledged) {
    record->Line("the leaving of endpoint 2 is acknowledged");
  }
  for (std::thread& client : clients) {
    client.join();
  }
  if (with_trouble && !acknowledged) {
    return 2;
  }
  if (with_trouble) {
    // It serves for `drain` after the acknowledgement and a little longer.
    review::SleepFor(acknowledged_at + kDrainSeconds + 2 - record->Now());
    leaving.Deregister();
    leaving.Exit();
  }
  int late = 0;
  for (const Endpoint::Arrival& arrival : leaving.TakeArrivals()) {
    const double after = arrival.at - acknowledged_at;
    if (with_trouble && after > kDrainSeconds) {
      ++late;
      record->Line("DRAIN: %s reached endpoint 2 %.3f s after the ack",
                   arrival.attempt.c_str(), after);
    }
  }
  record->Line(
      "%d of %d calls were served; %d requests reached the endpoint "
      "later than %.1f s after the acknowledgement",
      static_cast<int>(std::count_if(answers.begin(), answers.end(),
                                     [](const Answer& answer) {
                                       return answer.status == 200 &&
                                              answer.is_signed;
                                     })),
      kCalls, late, kDrainSeconds);
  return late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, Run);
}
