#ifndef DRAGONFLYTACK_TESTS_LINK_FIXTURE_H_
#define DRAGONFLYTACK_TESTS_LINK_FIXTURE_H_

#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <unistd.h>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/system_clock.h"
#include "net/websocket_link_layer.h"

namespace dragonflytack {

constexpr char kLinkKey[] = "0123456789abcdef";

// Each test runs in its own process, several at a time, and other programs use
// ports above 32768 on 127.0.0.1. So each process uses its own address.
inline std::string ProcessAddress() {
  const int pid = getpid();
  return "127." + std::to_string(1 + (pid >> 14) % 200) + "." +
         std::to_string((pid >> 7) & 127) + "." +
         std::to_string(1 + (pid & 127));
}

// A node with a link layer, and the events that the layer reported.
struct LinkNode {
  LinkNode(EventLoop* loop, Logger* logger, int index, LinkOptions options)
      : address{ProcessAddress(), static_cast<uint16_t>(21'000 + index)} {
    self.id = "n" + std::to_string(index);
    self.region = "r";
    self.data_centre = "d" + std::to_string(index);
    self.address = address.address;
    Failure reason;
    layer = WebSocketLinkLayer::Make(loop, address, std::move(options), logger,
                                     &reason);
    cr_assert(layer != nullptr, "%s", reason.ToString().c_str());
    layer->set_events(
        {[this]() -> const NodeRecord& { return self; },
         [this](LinkId id, const NodeRecord& peer, bool outgoing) {
           link = id;
           peers.push_back(peer.id + (outgoing ? " out" : " in"));
         },
         [this](LinkId, std::string_view frame) { frames.emplace_back(frame); },
         [this](LinkId, const Failure& why) { downs.push_back(why); }});
  }

  uint64_t EndCount(const char* code) const {
    const auto found = layer->end_counts().find(code);
    return found == layer->end_counts().end() ? 0 : found->second;
  }

  HostPort address;
  NodeRecord self;
  std::unique_ptr<WebSocketLinkLayer> layer;
  LinkId link = 0;
  std::vector<std::string> peers;
  std::vector<std::string> frames;
  std::vector<Failure> downs;
};

inline LinkOptions OptionsWithKey(const std::string& key = kLinkKey) {
  LinkOptions options;
  options.shared_key = key;
  return options;
}

struct LinkFixture {
  explicit LinkFixture(const LinkOptions& first = OptionsWithKey(),
                       const LinkOptions& second = OptionsWithKey())
      : loop(EventLoop::Make(&clock)),
        a(loop.get(), &logger, 0, first),
        b(loop.get(), &logger, 1, second) {
    // A write to a connection that the peer closed raises SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
  }

  // Runs the loop until `done` returns true, for at most 5 s. Returns whether
  // it did.
  bool Run(const std::function<bool()>& done) {
    bool reached = false;
    const TimePoint end = clock.Now() + Milliseconds(5000);
    const TimerId timer = loop->timers().SubscribeEvery(Milliseconds(1), [&] {
      reached = done();
      if (reached || clock.Now() > end) {
        loop->Stop();
      }
    });
    loop->Run();
    loop->timers().Cancel(timer);
    return reached;
  }

  bool LinkUp() {
    a.layer->Connect(b.address);
    return Run([this] { return a.link != 0 && b.link != 0; });
  }

  SystemClock clock;
  Logger logger{&clock, LogLevel::kError, ""};
  std::unique_ptr<EventLoop> loop;
  LinkNode a;
  LinkNode b;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_LINK_FIXTURE_H_
