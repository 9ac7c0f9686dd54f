#ifndef DRAGONFLYTACK_TESTS_STORE_BENCH_H_
#define DRAGONFLYTACK_TESTS_STORE_BENCH_H_

#include <csignal>
#include <memory>
#include <optional>
#include <string>

#include <criterion/criterion.h>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/system_clock.h"
#include "store/http_store_client.h"
#include "store/store_standin.h"

namespace dragonflytack {

// A loop with a store stand-in and a client of it, or of another address.
struct StoreBench final {
  explicit StoreBench(Milliseconds timeout = Milliseconds(500)) {
    // A write to a connection that the peer closed raises SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
    standin =
        StoreStandin::Make(loop.get(), HostPort{"127.0.0.1", 0}, {}, &reason);
    cr_assert(standin != nullptr, "%s", reason.ToString().c_str());
    Connect(standin->address(), timeout);
  }

  void Connect(const HostPort& store, Milliseconds timeout) {
    client = HttpStoreClient::Make(loop.get(), store, timeout, &logger);
    cr_assert(client != nullptr);
  }

  // Runs the loop until the started call has answered.
  template <typename Value, typename Start>
  std::optional<Value> Await(Start start) {
    std::optional<Value> result;
    int answers = 0;
    start([&](std::optional<Value> value, const Failure& failure) {
      result = std::move(value);
      reason = failure;
      ++answers;
      loop->Stop();
    });
    cr_assert_eq(answers, 0, "the answer must come later");
    loop->Run();
    cr_assert_eq(answers, 1);
    return result;
  }

  std::optional<StoreObject> Get(const std::string& key) {
    return Await<StoreObject>([&](auto done) { client->Get(key, done); });
  }
  std::optional<StoreVersion> Put(const std::string& key,
                                  const std::string& value,
                                  StoreVersion if_version) {
    return Await<StoreVersion>(
        [&](auto done) { client->Put(key, value, if_version, done); });
  }
  std::optional<StoreVersion> Watch(const std::string& key,
                                    StoreVersion after,
                                    int timeout_ms) {
    return Await<StoreVersion>([&](auto done) {
      client->Watch(key, after, Milliseconds(timeout_ms), done);
    });
  }

  // Lets the loop run, so that closed connections are noticed.
  void Settle(int ms) {
    loop->timers().SubscribeOnce(Milliseconds(ms), [this] { loop->Stop(); });
    loop->Run();
  }

  SystemClock clock;
  Logger logger{&clock, LogLevel::kError, ""};
  std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  std::unique_ptr<StoreStandin> standin;
  std::unique_ptr<HttpStoreClient> client;
  Failure reason;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_STORE_BENCH_H_
