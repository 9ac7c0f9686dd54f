#include "platform/rollout_orders.h"

#include <chrono>
#include <thread>

#include <criterion/criterion.h>

#include "call_fixture.h"
#include "dragonflytack/base/system_clock.h"
#include "holding_relay.h"
#include "object_store_fixture.h"
#include "platform/store_message.h"

namespace dragonflytack::platform {

namespace {

constexpr uint16_t kRelayPort = 7301;

std::string Order(int revision, const std::string& status) {
  return fmt::format(
      R"({{"metadata":{{"name":"roster","revision":{}}},"spec":{{"service":)"
      R"("roster","target_version":"v2","duration":"12s"}}{}}})",
      revision, status);
}

// Orders whose store sends the given responses.
class OrdersFixture {
 public:
  explicit OrdersFixture(std::vector<StoreResponse> responses)
      : store_(std::move(responses)),
        loop_(EventLoop::Make(&store_.clock_)),
        orders_(loop_.get(), {LoopbackAddress(0), kStorePort}, kStoreTimeout) {}

  std::optional<std::vector<RolloutOrder>> Next() {
    std::optional<std::vector<RolloutOrder>> found;
    orders_.Next(Milliseconds(1000), [&](auto orders, const Failure&) {
      found = std::move(orders);
      event_base_loopbreak(loop_->base());
    });
    loop_->Run();
    return found;
  }
  FailureCode Write(const RolloutOrder& order, RolloutProgress progress) {
    FailureCode code = FailureCode::kInternal;
    orders_.WriteProgress(order, progress, [&](const Failure& reason) {
      code = reason.code;
      event_base_loopbreak(loop_->base());
    });
    loop_->Run();
    return code;
  }

  StoreFixture store_;

 private:
  std::unique_ptr<EventLoop> loop_;
  PlatformRolloutOrders orders_;
};

}  // namespace

// Guards against orders that are read twice or missed, and against the status
// of an earlier target version that counts for the present one.
Test(platform_rollout_orders, orders_are_listed_then_watched) {
  OrdersFixture fixture(
      {{200, R"({"at":5,"items":[)" + Order(4, "") + "]}", "1"},
       {200,
        R"({"at":7,"events":[{"object":)" +
            Order(7,
                  R"(,"status":{"state":"completed","target_version":"v1"})") +
            "}]}",
        "1"},
       {200,
        R"({"at":9,"events":[{"object":)" +
            Order(9, R"(,"status":{"state":"running","target_version":"v2"})") +
            "}]}",
        "1"},
       {410, "{}", "1"},
       {200, R"({"at":12,"items":[]})", "1"}});
  const auto listed = fixture.Next();
  cr_assert(listed && listed->size() == 1);
  const RolloutOrder expected{"roster", "v2", Milliseconds(12'000),
                              uint64_t{1} << kRevisionBits | 4,
                              RolloutProgress::kNone};
  cr_expect(listed->front() == expected);
  const auto changed = fixture.Next();
  cr_assert(changed && changed->size() == 1);
  cr_expect(changed->front().progress == RolloutProgress::kNone);
  const auto running = fixture.Next();
  cr_assert(running && running->size() == 1);
  cr_expect(running->front().progress == RolloutProgress::kRunning);
  cr_expect(!fixture.Next());
  cr_expect(fixture.Next() && fixture.Next() == std::nullopt);
  const std::vector<std::string> requests = fixture.store_.requests();
  cr_assert(requests.size() >= 5);
  cr_expect(requests[0] == "GET /objects/rollouts");
  cr_expect(requests[1] == "GET /objects/rollouts?watch=5&wait_ms=1000");
  cr_expect(requests[2] == "GET /objects/rollouts?watch=7&wait_ms=1000");
  cr_expect(requests[4] == "GET /objects/rollouts");
}

// Guards against a status at another path, and against a refusal that counts as
// written.
Test(platform_rollout_orders, the_progress_is_written_to_the_status) {
  OrdersFixture fixture({{200, "{}"}, {409, "{}"}});
  const RolloutOrder order{"roster", "v2", Milliseconds(12'000), 4};
  cr_expect(fixture.Write(order, RolloutProgress::kRunning) ==
            FailureCode::kNone);
  cr_expect(fixture.Write(order, RolloutProgress::kCompleted) !=
            FailureCode::kNone);
  cr_expect(fixture.store_.requests().front() ==
            "PUT /objects/rollouts/roster/status");
}

// Guards against a state that is written late, on a kept connection that has
// gone silent together with that of the watch before.
Test(platform_rollout_orders, state_is_written_after_a_silent_watch) {
  ScriptedTarget server(
      LoopbackAddress(0), kStorePort, [](int fd, const std::string& head, int) {
        if (head.find("wait_ms") != std::string::npos) {
          std::this_thread::sleep_for(Milliseconds(200));
          return ScriptedTarget::Respond(fd, R"({"at":6,"events":[]})");
        }
        return ScriptedTarget::Respond(
            fd, R"({"at":5,"items":[)" + Order(4, "") + "]}");
      });
  SystemClock clock;
  const auto loop = EventLoop::Make(&clock);
  HoldingRelay relay(loop.get(), {LoopbackAddress(0), kRelayPort},
                     {LoopbackAddress(0), kStorePort});
  PlatformRolloutOrders orders(loop.get(), relay.address(),
                               Milliseconds(2'000));
  const auto next = [&] {
    std::optional<std::vector<RolloutOrder>> found;
    orders.Next(Milliseconds(100), [&](auto listed, const Failure&) {
      found = std::move(listed);
      loop->Stop();
    });
    loop->Run();
    return found;
  };
  const auto write = [&](const RolloutOrder& order) {
    const TimePoint begin = std::chrono::steady_clock::now();
    FailureCode code = FailureCode::kInternal;
    orders.WriteProgress(order, RolloutProgress::kRunning,
                         [&](const Failure& reason) {
                           code = reason.code;
                           loop->Stop();
                         });
    loop->Run();
    cr_expect(code == FailureCode::kNone);
    return std::chrono::steady_clock::now() - begin;
  };
  const auto listed = next();
  cr_assert(listed && listed->size() == 1);
  write(listed->front());
  relay.Silence();
  cr_assert(!next());
  cr_expect(write(listed->front()) < Milliseconds(1'000));
}

}  // namespace dragonflytack::platform
