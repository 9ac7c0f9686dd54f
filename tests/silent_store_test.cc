// Open connections to the store that carry no more bytes, but are not closed,
// while new connections work.

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <criterion/criterion.h>

#include "call_fixture.h"
#include "distribution/table_watcher.h"
#include "distribution/throttled_store_client.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/base/system_clock.h"
#include "holding_relay.h"
#include "object_store_fixture.h"
#include "store_standin_fixture.h"

namespace dragonflytack {

namespace {

constexpr uint16_t kRelayPort = 7301;
// After this time nodes count as undisturbed, and a version must then be in
// force within kApplyTime after its acknowledgement.
constexpr Milliseconds kSettleTime{3'000};
constexpr Milliseconds kApplyTime{2'000};

// Returns the value of a parameter in the query of a request; 0 if it is
// missing.
int64_t Parameter(const std::string& head, const std::string& name) {
  const size_t at = head.find(name + "=");
  return at == std::string::npos
             ? 0
             : std::stoll(head.substr(at + name.size() + 1));
}

// The platform's store with the operator's configuration as its only object,
// whose revision is the version of the configuration.
class ConfigurationStore final {
 public:
  ConfigurationStore()
      : server_(LoopbackAddress(0),
                platform::kStorePort,
                [this](int fd, const std::string& head, int) {
                  return Serve(fd, head);
                }) {}

  void Write(int version) { version_ = version; }

 private:
  bool Serve(int fd, const std::string& head) const {
    const int64_t wait_ms = Parameter(head, "wait_ms");
    const int64_t from = Parameter(head, "watch");
    const TimePoint end =
        std::chrono::steady_clock::now() + Milliseconds(wait_ms);
    while (version_ <= from && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(Milliseconds(1));
    }
    const int version = version_;
    std::string body = platform::Configuration(version, version, "roster");
    if (wait_ms != 0) {
      body = version > from
                 ? platform::Event(body, version)
                 : fmt::format(R"({{"events":[],"at":{}}})", version);
    }
    return ScriptedTarget::Respond(fd, body);
  }

  std::atomic<int> version_ = 1;
  ScriptedTarget server_;
};

// A watcher of the table on an event loop.
struct Watcher final {
  Watcher(EventLoop* loop, StoreClient* client)
      : loop(loop), store(client, &loop->clock()) {
    watcher.SetActive(true, false, Milliseconds(0));
  }

  // Runs the loop until the version is reported or the time is over. Returns
  // whether it was reported.
  bool WaitFor(StoreVersion version, Milliseconds limit) {
    awaited = version;
    const TimerId timer =
        loop->timers().SubscribeOnce(limit, [this] { loop->Stop(); });
    if (reported < awaited) {
      loop->Run();
    }
    loop->timers().Cancel(timer);
    awaited = UINT64_MAX;
    return reported >= version;
  }
  void Run(Milliseconds time) { WaitFor(UINT64_MAX, time); }

  EventLoop* const loop;
  StoreVersion reported = 0;
  // Reporting this version or a later one stops the loop.
  StoreVersion awaited = UINT64_MAX;
  Random random{1};
  ThrottledStoreClient store;
  TableWatcher watcher{&store,
                       &loop->timers(),
                       &random,
                       [this] { return reported; },
                       [this](StoreVersion version) {
                         reported = version;
                         if (reported >= awaited) {
                           loop->Stop();
                         }
                       },
                       [](const StoreObject&) {}};
};

// Silences the connections just before a change, while a watch that has just
// begun waits on one of them. `write` is as for ExpectChangeInTime(). The
// change must be in force when nodes count as undisturbed again, and other
// nodes get it from the watcher first.
void ExpectChangeDuringSilenceInTime(
    Watcher* watcher,
    HoldingRelay* relay,
    const std::function<StoreVersion()>& write) {
  constexpr Milliseconds kTimeToSpread{300};
  for (const Milliseconds begun :
       {Milliseconds(50), Milliseconds(250), Milliseconds(400)}) {
    cr_assert(watcher->WaitFor(write(), Milliseconds(5'000)));
    watcher->Run(begun);
    relay->Silence();
    cr_expect(watcher->WaitFor(write(), kSettleTime - kTimeToSpread),
              "%ld ms after the watch before was answered",
              static_cast<long>(begun.count()));
    watcher->Run(Milliseconds(500));
  }
}

// Silences the connections at the least favourable moment, when a watch has
// just begun after a change. `write` writes the version after the one that it
// wrote last.
void ExpectChangeInTime(Watcher* watcher,
                        HoldingRelay* relay,
                        const std::function<StoreVersion()>& write) {
  cr_assert(watcher->WaitFor(write(), Milliseconds(5'000)));
  cr_assert(watcher->WaitFor(write(), Milliseconds(5'000)));
  watcher->Run(Milliseconds(300));
  relay->Silence();
  watcher->Run(kSettleTime);
  const StoreVersion version = write();
  cr_expect(watcher->WaitFor(version, kApplyTime));
  // The connections made since are kept.
  cr_expect(watcher->WaitFor(write(), Milliseconds(1'000)));
}

// A watcher of the platform's store behind a relay.
struct PlatformFixture final {
  // Writes the next version and returns it.
  StoreVersion Write() {
    server.Write(++version);
    return static_cast<StoreVersion>(version);
  }

  ConfigurationStore server;
  SystemClock clock;
  Logger logger{&clock, LogLevel::kError, ""};
  std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  HoldingRelay relay{loop.get(),
                     {LoopbackAddress(0), kRelayPort},
                     {LoopbackAddress(0), platform::kStorePort}};
  platform::ObjectStore store{loop.get(), relay.address(), Milliseconds(2'000),
                              &logger};
  Watcher watcher{loop.get(), &store};
  int version = 1;
};

// A watcher of the project's own store behind a relay.
struct OwnStoreFixture final {
  // Writes the next version and returns it.
  StoreVersion Write() {
    version = standin.Put("table", "text", version).value_or(0);
    cr_assert_neq(version, 0);
    return version;
  }

  StoreStandinFixture standin;
  HoldingRelay relay{standin.loop.get(),
                     {LoopbackAddress(0), kRelayPort},
                     standin.standin->address()};
  std::unique_ptr<HttpStoreClient> client =
      HttpStoreClient::Make(standin.loop.get(),
                            relay.address(),
                            Milliseconds(2'000),
                            &standin.logger);
  Watcher watcher{standin.loop.get(), client.get()};
  StoreVersion version = 0;
};

}  // namespace

// Guards against a version that is late because the watch of it, or the read
// after the watch was given up, waits on a connection that has gone silent.
Test(silent_store, change_at_the_platform_is_known_in_time, .timeout = 60) {
  PlatformFixture fixture;
  ExpectChangeInTime(&fixture.watcher, &fixture.relay,
                     [&] { return fixture.Write(); });
}

// Guards against the same with the project's own store.
Test(silent_store, change_at_the_own_store_is_known_in_time, .timeout = 60) {
  OwnStoreFixture fixture;
  ExpectChangeInTime(&fixture.watcher, &fixture.relay,
                     [&] { return fixture.Write(); });
}

// Guards against an old table that stays in force after the nodes count as
// undisturbed, if it is replaced just after the connections became silent.
Test(silent_store, change_during_the_silence_is_known_in_time, .timeout = 60) {
  PlatformFixture fixture;
  ExpectChangeDuringSilenceInTime(&fixture.watcher, &fixture.relay,
                                  [&] { return fixture.Write(); });
}

// Guards against the same with the project's own store.
Test(silent_store,
     change_at_the_own_store_during_the_silence_is_known_in_time,
     .timeout = 60) {
  OwnStoreFixture fixture;
  ExpectChangeDuringSilenceInTime(&fixture.watcher, &fixture.relay,
                                  [&] { return fixture.Write(); });
}

}  // namespace dragonflytack
