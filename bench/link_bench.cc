// Memory of idle links between nodes, and the rate of small frames on one link.
// Prints JSON lines.

#include <csignal>
#include <string>

#include <fmt/format.h>

#include "daemon/process_usage.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/system_clock.h"
#include "net/websocket_link_layer.h"

namespace dragonflytack {

namespace {

constexpr int kLinks = 200;
// Both ends of all links that are made after the first measurement.
constexpr int kLinkEnds = 2 * (kLinks - 1);
constexpr int kFrames = 100'000;
// A delta of one row.
constexpr size_t kFrameBytes = 300;
// Frames that are queued in one turn of the loop.
constexpr int kBurst = 100;

struct Node {
  Node(EventLoop* loop, Logger* logger, const HostPort& address) {
    self.id = address.ToString();
    self.region = "r";
    self.data_centre = "d";
    self.address = address.address;
    LinkOptions options;
    options.shared_key = "0123456789abcdef";
    Failure reason;
    layer = WebSocketLinkLayer::Make(loop, address, options, logger, &reason);
    if (layer == nullptr) {
      fmt::print(stderr, "{}\n", reason.ToString());
      std::exit(1);
    }
    layer->set_events({[this]() -> const NodeRecord& { return self; },
                       [this](LinkId, const NodeRecord&, bool) { ++up; },
                       [this](LinkId, std::string_view) { ++frames; },
                       [](LinkId, const Failure&) {}});
  }

  NodeRecord self;
  std::unique_ptr<WebSocketLinkLayer> layer;
  int up = 0;
  int frames = 0;
};

void RunUntil(EventLoop* loop, const std::function<bool()>& done) {
  const TimerId timer =
      loop->timers().SubscribeEvery(Milliseconds(1), [loop, &done] {
        if (done()) {
          loop->Stop();
        }
      });
  loop->Run();
  loop->timers().Cancel(timer);
}

void Measure() {
  const SystemClock clock;
  Logger logger(&clock, LogLevel::kError, "");
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  Node a(loop.get(), &logger, {"127.0.98.1", 21'000});
  const HostPort address = {"127.0.98.2", 21'000};
  Node b(loop.get(), &logger, address);
  const LinkId first = a.layer->Connect(address);
  RunUntil(loop.get(), [&] { return a.up == 1 && b.up == 1; });
  const int64_t before = ProcessUsage::Read().resident_bytes;
  for (int i = 1; i < kLinks; ++i) {
    a.layer->Connect(address);
  }
  RunUntil(loop.get(), [&] { return a.up == kLinks && b.up == kLinks; });
  const int64_t grown = ProcessUsage::Read().resident_bytes - before;
  fmt::print("{{\"idle_links\":{},\"bytes_per_link_end\":{}}}\n", kLinks,
             grown / kLinkEnds);

  const std::string frame(kFrameBytes, 'x');
  const int64_t processor = ProcessUsage::Read().processor_millis;
  const TimePoint start = clock.Now();
  int sent = 0;
  while (b.frames < kFrames) {
    for (int i = 0; i < kBurst && sent < kFrames; ++i, ++sent) {
      a.layer->Send(first, frame);
    }
    RunUntil(loop.get(), [&] { return b.frames == sent; });
  }
  const double seconds =
      std::chrono::duration<double>(clock.Now() - start).count();
  const int64_t used = ProcessUsage::Read().processor_millis - processor;
  fmt::print(
      "{{\"frames\":{},\"frame_bytes\":{},\"frames_per_s\":{:.0f},"
      "\"processor_us_per_frame\":{:.2f}}}\n",
      kFrames, kFrameBytes, kFrames / seconds,
      static_cast<double>(used) * 1000 / kFrames);
}

}  // namespace

}  // namespace dragonflytack

int main() {
  // A closed link must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  dragonflytack::Measure();
  return 0;
}
