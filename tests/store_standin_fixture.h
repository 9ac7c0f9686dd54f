#ifndef DRAGONFLYTACK_TESTS_STORE_STANDIN_FIXTURE_H_
#define DRAGONFLYTACK_TESTS_STORE_STANDIN_FIXTURE_H_

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

// An event loop with a store stand-in, and a client that is connected to it or,
// after Connect(), to another address.
struct StoreStandinFixture final {
  explicit StoreStandinFixture(Milliseconds timeout = Milliseconds(500)) {
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

  // Starts a call and runs the loop until its callback is called.
  template <typename Value, typename Start>
  std::optional<Value> Await(Start start) {
    std::optional<Value> result;
    int callback_count = 0;
    start([&](std::optional<Value> value, const Failure& failure) {
      result = std::move(value);
      reason = failure;
      ++callback_count;
      loop->Stop();
    });
    cr_assert_eq(callback_count, 0,
                 "the callback must be called on a later turn of the loop");
    loop->Run();
    cr_assert_eq(callback_count, 1);
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

  // Runs the loop for `ms` milliseconds, so that closed connections are
  // detected.
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

#endif  // DRAGONFLYTACK_TESTS_STORE_STANDIN_FIXTURE_H_
