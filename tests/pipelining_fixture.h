#ifndef DRAGONFLYTACK_TESTS_PIPELINING_FIXTURE_H_
#define DRAGONFLYTACK_TESTS_PIPELINING_FIXTURE_H_

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "call_fixture.h"

namespace dragonflytack {

inline constexpr Milliseconds kPatience{10'000};
// A request that is not held back would have arrived by then.
inline constexpr Milliseconds kMoreRequests{60};
inline constexpr int kMaxPipelined = 8;

// A target whose responses wait until the test lets them go.
class HoldingTarget {
 public:
  explicit HoldingTarget(const std::string& address)
      : target_(address,
                CallFixture::kTargetPort,
                [this](int fd, const std::string& head, int /*n*/) {
                  const std::string id = RequestId(head);
                  std::unique_lock<std::mutex> lock(mutex_);
                  events_.push_back("+" + id);
                  changed_.notify_all();
                  changed_.wait(lock, [&] {
                    return releases_all_ || std::ranges::count(released_, id);
                  });
                  events_.push_back("-" + id);
                  return ScriptedTarget::Respond(fd, id);
                }) {}
  ~HoldingTarget() { ReleaseAll(); }
  HoldingTarget(const HoldingTarget&) = delete;
  HoldingTarget& operator=(const HoldingTarget&) = delete;

  void Release(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    released_.push_back(id);
    changed_.notify_all();
  }
  void ReleaseAll() {
    const std::lock_guard<std::mutex> lock(mutex_);
    releases_all_ = true;
    changed_.notify_all();
  }
  // Holds the responses to requests from now on.
  void HoldAgain() {
    const std::lock_guard<std::mutex> lock(mutex_);
    releases_all_ = false;
    released_.clear();
  }
  // Waits until `count` requests have arrived and no further one does.
  void ExpectArrived(size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, kPatience, [&] { return Arrived() >= count; });
    changed_.wait_for(lock, kMoreRequests, [&] { return Arrived() > count; });
    cr_expect_eq(Arrived(), count, "%zu instead of %zu arrived", Arrived(),
                 count);
  }
  // Returns "+ID" for each request and "-ID" for each response, in order.
  std::vector<std::string> events() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return events_;
  }
  int closed() const { return target_.closed(); }

 private:
  size_t Arrived() const {
    return static_cast<size_t>(std::ranges::count(
        events_, '+', [](auto& text) { return text.front(); }));
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> released_;
  std::vector<std::string> events_;
  bool releases_all_ = false;
  ScriptedTarget target_;
};

inline std::string Get(const std::string& id, const std::string& headers = "") {
  return CallFixture::Request(id, 8'000, headers);
}

// Returns requests with the ids first, first + 1, ..., last.
inline std::string Gets(int first, int last) {
  std::string text;
  for (int id = first; id <= last; ++id) {
    text += Get(std::to_string(id));
  }
  return text;
}

inline std::unique_ptr<CallFixture> MakeNodes(
    ServiceKind kind = ServiceKind::kIdempotent,
    int max_pipelined = kMaxPipelined,
    int max_buffered_mb = Settings().max_buffered_mb) {
  return std::make_unique<CallFixture>(
      1, Row(kind), nullptr, Settings().drain_timeout_ms,
      CallFixture::Addressing::kServices, max_buffered_mb, max_pipelined);
}

inline void ExpectBody(Socket* caller, const std::string& body) {
  const HttpReply reply = caller->ReceiveNext(kPatience);
  cr_expect_eq(reply.status, 200, "%s: %d", body.c_str(), reply.status);
  ExpectEqual(reply.body, body);
}

// Returns the value of a metric of the first node, 0 if it is missing.
inline int Metric(CallFixture* fixture, const std::string& name) {
  const std::string text = fixture->metrics(0)->RenderText();
  const size_t at = text.find("\n" + name + " ");
  return at == std::string::npos ? 0
                                 : std::stoi(text.substr(at + name.size() + 2));
}

inline int Events(CallFixture* fixture, const std::string& event) {
  return Metric(fixture,
                "dragonflytack_pipelined_calls_total{event=\"" + event + "\"}");
}

template <typename Condition>
void ExpectSoon(Condition condition) {
  const TimePoint end = std::chrono::steady_clock::now() + kPatience;
  while (!condition() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  cr_expect(condition());
}

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_PIPELINING_FIXTURE_H_
