#include "net/websocket_link_layer.h"

#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/system_clock.h"

namespace dragonflytack {

namespace {

constexpr char kUpgrade[] =
    "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: "
    "Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
    "Sec-WebSocket-Version: 13\r\n\r\n";
constexpr char kKey[] = "0123456789abcdef";

// Tests run in processes of their own side by side, and other programs take
// ports above 32768 on 127.0.0.1, so each process has an address of its own.
std::string OwnAddress() {
  const int pid = getpid();
  return "127." + std::to_string(1 + (pid >> 14) % 200) + "." +
         std::to_string((pid >> 7) & 127) + "." +
         std::to_string(1 + (pid & 127));
}

// One layer and what it reported.
struct End {
  End(EventLoop* loop, Logger* logger, int index, LinkOptions options)
      : address{OwnAddress(), static_cast<uint16_t>(21'000 + index)} {
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

  uint64_t Ends(const char* code) const {
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

LinkOptions Keyed(const std::string& key = kKey) {
  LinkOptions options;
  options.shared_key = key;
  return options;
}

struct Bench {
  explicit Bench(const LinkOptions& first = Keyed(),
                 const LinkOptions& second = Keyed())
      : loop(EventLoop::Make(&clock)),
        a(loop.get(), &logger, 0, first),
        b(loop.get(), &logger, 1, second) {
    // As the daemon does.
    std::signal(SIGPIPE, SIG_IGN);
  }

  // Runs the loop until `done`, at most 5 s. Returns whether it was done.
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
  End a;
  End b;
};

// A socket that speaks no protocol.
int ConnectRaw(const HostPort& peer, const std::string& bytes) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(peer.port);
  inet_pton(AF_INET, peer.address.c_str(), &address.sin_addr);
  cr_assert_eq(
      connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  cr_assert_eq(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
               static_cast<ssize_t>(bytes.size()));
  return fd;
}

}  // namespace

// Guards against frames that are cut, reordered or lost, at the largest size
// and in both directions at once.
Test(websocket_link_layer, carries_frames_of_all_sizes_both_ways) {
  Bench bench;
  cr_assert(bench.LinkUp());
  cr_assert(bench.a.peers == std::vector<std::string>{"n1 out"});
  cr_assert(bench.b.peers == std::vector<std::string>{"n0 in"});
  std::vector<std::string> sent;
  for (const size_t size : {0u, 1u, 125u, 126u, 65'535u, 65'536u, 8'000'000u}) {
    sent.emplace_back(size, static_cast<char>('a' + sent.size()));
    bench.a.layer->Send(bench.a.link, sent.back());
    bench.b.layer->Send(bench.b.link, sent.back());
  }
  cr_assert(bench.a.layer->QueuedBytes(bench.a.link) > 8'000'000);
  cr_assert(bench.Run([&] {
    return bench.a.frames.size() == sent.size() &&
           bench.b.frames.size() == sent.size();
  }));
  cr_assert(bench.a.frames == sent && bench.b.frames == sent);
  cr_assert_eq(bench.a.layer->QueuedBytes(bench.a.link), 0u);
}

// Guards against a peer that joins without the key, and a key that is ignored.
Test(websocket_link_layer, links_come_up_only_with_equal_keys) {
  const struct {
    const char* first;
    const char* second;
    bool up;
  } cases[] = {{kKey, kKey, true},
               {"", "", true},
               {kKey, "fedcba9876543210", false},
               {kKey, "", false},
               {"", kKey, false}};
  for (const auto& keys : cases) {
    Bench bench(Keyed(keys.first), Keyed(keys.second));
    if (keys.up) {
      cr_expect(bench.LinkUp(), "%s %s", keys.first, keys.second);
      continue;
    }
    bench.a.layer->Connect(bench.b.address);
    cr_expect(bench.Run([&] {
      return !bench.a.downs.empty() && bench.b.layer->link_count() == 0;
    }));
    cr_expect(bench.a.link == 0 && bench.b.link == 0);
    cr_expect(bench.a.Ends("authentication") + bench.b.Ends("authentication") >
              0);
    cr_expect(bench.a.downs.size() == 1 && bench.b.downs.empty());
  }
}

// Guards against input that ends the process, leaves a link behind or is
// reported under a wrong type.
Test(websocket_link_layer, bad_input_ends_only_its_own_link) {
  LinkOptions options = Keyed();
  options.handshake_timeout = Milliseconds(300);
  Bench bench(Keyed(), options);
  const std::string upgrade = kUpgrade;
  const std::string zero_mask(4, '\0');
  const auto frame = [&](char first, const std::string& payload) {
    return upgrade + first + static_cast<char>(0x80 | payload.size()) +
           zero_mask + payload;
  };
  const struct {
    const char* name;
    std::string bytes;
    bool closes;
    const char* reason;
  } inputs[] = {
      {"plain HTTP", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", false,
       "invalid_message"},
      {"text", "hello\r\n\r\n", false, "invalid_message"},
      {"noise", std::string("\0\xff\x16\x03\r\n\r\n", 8), false,
       "invalid_message"},
      {"endless header", std::string(40'000, 'x'), false, "invalid_message"},
      {"nothing", "", true, "peer_unreachable"},
      {"silence", "", false, "peer_unreachable"},
      {"cut header", upgrade.substr(0, 40), true, "peer_unreachable"},
      {"cut frame", upgrade + "\x82\xff", true, "peer_unreachable"},
      {"half a frame", frame('\x82', "abc").substr(0, upgrade.size() + 8),
       false, "peer_unreachable"},
      {"no mask", upgrade + "\x82\x01x", false, "invalid_message"},
      {"reserved bits", frame('\xf2', "x"), false, "invalid_message"},
      {"text message", frame('\x81', "x"), false, "invalid_message"},
      {"8 GB frame",
       upgrade + std::string("\x82\xff\0\0\0\2\0\0\0\0\0\0\0\0", 14), false,
       "too_large"},
      {"5 KB before the hello",
       upgrade + std::string("\x82\xfe\x14\0\0\0\0\0", 8), false, "too_large"},
      {"not CBOR", frame('\x82', "\xff\xff"), false, "invalid_message"},
      {"CBOR of another kind", frame('\x82', "\x01"), false, "invalid_message"},
      {"nested arrays", frame('\x82', std::string(100, '\x81')), false,
       "invalid_message"},
      {"close frame", frame('\x88', "\x03\xe8"), false, "peer_rejected"},
  };
  uint64_t ended = 0;
  for (const auto& input : inputs) {
    const uint64_t before = bench.b.Ends(input.reason);
    const int fd = ConnectRaw(bench.b.address, input.bytes);
    if (input.closes) {
      close(fd);
    }
    ++ended;
    cr_expect(bench.Run([&] { return bench.b.Ends(input.reason) > before; }),
              "%s", input.name);
    uint64_t all = 0;
    for (const auto& [code, count] : bench.b.layer->end_counts()) {
      all += count;
    }
    cr_expect_eq(all, ended, "%s", input.name);
    if (!input.closes) {
      close(fd);
    }
  }
  cr_expect(bench.Run([&] { return bench.b.layer->link_count() == 0; }));
  cr_expect(bench.b.downs.empty());
  cr_expect(bench.LinkUp());
}

// Guards against memory that a stranger fills with answers it never reads.
Test(websocket_link_layer, pings_without_reading_end_the_link) {
  Bench bench;
  const int fd = ConnectRaw(bench.b.address, kUpgrade);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  const int small_buffer = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small_buffer, sizeof(small_buffer));
  std::string pings;
  for (int i = 0; i < 100; ++i) {
    pings += "\x89\xfd" + std::string(4, '\0') + std::string(125, 'p');
  }
  cr_expect(bench.Run([&] {
    [[maybe_unused]] const ssize_t sent =
        send(fd, pings.data(), pings.size(), MSG_NOSIGNAL);
    return bench.b.Ends("overloaded") == 1;
  }));
  close(fd);
}

// Guards against an authenticated peer that makes a node hold what it must not.
Test(websocket_link_layer, oversized_frames_end_the_link) {
  LinkOptions small = Keyed();
  small.max_frame_bytes = 1000;
  Bench bench(Keyed(), small);
  cr_assert(bench.LinkUp());
  bench.a.layer->Send(bench.a.link, std::string(1000, 'x'));
  bench.a.layer->Send(bench.a.link, std::string(1001, 'x'));
  cr_assert(bench.Run(
      [&] { return !bench.a.downs.empty() && !bench.b.downs.empty(); }));
  cr_assert(bench.b.frames.size() == 1 &&
            bench.b.downs[0].code == FailureCode::kTooLarge);
  bench.a.link = bench.b.link = 0;
  cr_assert(bench.LinkUp());
  bench.b.layer->Send(bench.b.link, std::string(1001, 'x'));
  cr_assert_eq(bench.b.downs.size(), 1u);
  cr_assert(bench.Run([&] { return bench.b.downs.size() == 2; }));
  cr_assert(bench.b.downs[1].code == FailureCode::kTooLarge);
}

// Guards against a queue that grows without bound, and against a report from
// within Send().
Test(websocket_link_layer, full_queue_ends_the_link) {
  LinkOptions small = Keyed();
  small.max_queue_bytes = 100'000;
  Bench bench(small, Keyed());
  cr_assert(bench.LinkUp());
  for (int i = 0; i < 100; ++i) {
    bench.a.layer->Send(bench.a.link, std::string(10'000, 'x'));
    cr_assert_leq(bench.a.layer->QueuedBytes(bench.a.link), 100'000u);
  }
  cr_assert(bench.a.downs.empty());
  cr_assert(bench.Run([&] { return bench.a.downs.size() == 1; }));
  cr_assert(bench.a.downs[0].code == FailureCode::kOverloaded);
  bench.a.layer->Send(bench.a.link, "late");
  cr_assert(bench.Run([&] { return bench.a.layer->link_count() == 0; }));
  cr_assert(bench.b.frames.size() < 100);
}

// Guards against announcements that are lost when a node stops right after it
// queued them, and against reports for a link that was closed.
Test(websocket_link_layer, close_sends_what_is_queued) {
  Bench bench;
  cr_assert(bench.LinkUp());
  bench.a.layer->Send(bench.a.link, std::string(3'000'000, 'x'));
  bench.a.layer->Send(bench.a.link, "last");
  bool closed = false;
  bench.a.layer->Shutdown([&] { closed = true; });
  bench.b.layer->Send(bench.b.link, "into the closing");
  cr_assert(bench.Run([&] { return closed && !bench.b.downs.empty(); }));
  cr_assert(bench.b.frames.size() == 2 && bench.b.frames[1] == "last");
  cr_assert(bench.b.downs[0].code == FailureCode::kCancelled, "%s",
            bench.b.downs[0].ToString().c_str());
  cr_assert(bench.a.downs.empty() && bench.a.frames.empty());
}

// Guards against reports from within Connect(), for closed links, or none.
Test(websocket_link_layer, reports_failed_connections_once_and_later) {
  LinkOptions one = Keyed();
  one.max_inbound = 1;
  Bench bench(Keyed(), one);
  const HostPort nobody = {"127.0.0.1", 1};
  bench.a.layer->Close(bench.a.layer->Connect(nobody));
  bench.a.layer->Connect(nobody);
  bench.a.layer->Connect(bench.a.address);
  cr_assert(bench.a.downs.empty());
  cr_assert(bench.Run([&] { return bench.a.downs.size() == 2; }));
  cr_assert(bench.a.downs[0].code == FailureCode::kPeerUnreachable ||
            bench.a.downs[1].code == FailureCode::kPeerUnreachable);
  // The link to itself is refused.
  cr_assert(bench.a.Ends("peer_rejected") >= 1);
  cr_assert(bench.LinkUp());
  bench.a.layer->Connect(bench.b.address);
  cr_assert(bench.Run([&] { return bench.a.downs.size() == 3; }));
  cr_assert_eq(bench.b.peers.size(), 1u);
}

// Guards against a node without a key that takes part beyond its host.
Test(websocket_link_layer, without_key_refuses_peers_off_loopback) {
  Bench bench(Keyed(""), Keyed(""));
  bench.a.layer->Connect({"192.0.2.1", 1});
  cr_assert(bench.Run([&] { return bench.a.downs.size() == 1; }));
  cr_assert(bench.a.downs[0].code == FailureCode::kPeerRejected);
}

}  // namespace dragonflytack
