#include "net/websocket_link_layer.h"

#include <string>
#include <vector>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "call_fixture.h"
#include "link_fixture.h"

namespace dragonflytack {

namespace {

constexpr char kUpgrade[] =
    "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: "
    "Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
    "Sec-WebSocket-Version: 13\r\n\r\n";

// Opens a plain TCP connection, sends `bytes` and returns the socket.
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

// Returns a frame of a client, with a masking key of 0. `first` is the byte
// with the opcode, and the payload has less than 64 KB.
std::string ClientFrame(char first, const std::string& payload) {
  constexpr char kMasked = '\x80';
  constexpr size_t kMaxShortPayload = 125;
  std::string frame(1, first);
  if (payload.size() <= kMaxShortPayload) {
    frame += static_cast<char>(kMasked | payload.size());
  } else {
    frame += '\xfe';
    frame += static_cast<char>(payload.size() >> 8);
    frame += static_cast<char>(payload.size());
  }
  return frame + std::string(4, '\0') + payload;
}

// Returns `count` pings of the largest size.
std::string Pings(int count) {
  std::string pings;
  for (int i = 0; i < count; ++i) {
    pings += ClientFrame('\x89', std::string(125, 'p'));
  }
  return pings;
}

}  // namespace

// Guards against frames that are truncated, reordered or lost, up to the
// largest size and in both directions at once.
Test(websocket_link_layer, transmits_frames_of_all_sizes_in_both_directions) {
  LinkFixture fixture;
  cr_assert(fixture.LinkUp());
  cr_assert(fixture.a.peers == std::vector<std::string>{"n1 out"});
  cr_assert(fixture.b.peers == std::vector<std::string>{"n0 in"});
  std::vector<std::string> sent;
  for (const size_t size : {0u, 1u, 125u, 126u, 65'535u, 65'536u, 8'000'000u}) {
    sent.emplace_back(size, static_cast<char>('a' + sent.size()));
    fixture.a.layer->Send(fixture.a.link, sent.back());
    fixture.b.layer->Send(fixture.b.link, sent.back());
  }
  cr_assert(fixture.a.layer->QueuedBytes(fixture.a.link) > 8'000'000);
  cr_assert(fixture.Run([&] {
    return fixture.a.frames.size() == sent.size() &&
           fixture.b.frames.size() == sent.size();
  }));
  cr_assert(fixture.a.frames == sent && fixture.b.frames == sent);
  cr_assert_eq(fixture.a.layer->QueuedBytes(fixture.a.link), 0u);
}

// Guards against a peer that connects without the key, and against a configured
// key that is ignored.
Test(websocket_link_layer, links_come_up_only_with_equal_keys) {
  const struct {
    const char* first;
    const char* second;
    bool up;
  } cases[] = {{kLinkKey, kLinkKey, true},
               {"", "", true},
               {kLinkKey, "fedcba9876543210", false},
               {kLinkKey, "", false},
               {"", kLinkKey, false}};
  for (const auto& keys : cases) {
    LinkFixture fixture(OptionsWithKey(keys.first),
                        OptionsWithKey(keys.second));
    if (keys.up) {
      cr_expect(fixture.LinkUp(), "%s %s", keys.first, keys.second);
      continue;
    }
    fixture.a.layer->Connect(fixture.b.address);
    cr_expect(fixture.Run([&] {
      return !fixture.a.downs.empty() && fixture.b.layer->link_count() == 0;
    }));
    cr_expect(fixture.a.link == 0 && fixture.b.link == 0);
    cr_expect(fixture.a.EndCount("authentication") +
                  fixture.b.EndCount("authentication") >
              0);
    cr_expect(fixture.a.downs.size() == 1 && fixture.b.downs.empty());
  }
}

// Guards against input that crashes the process, leaks a link or is counted
// under the wrong failure code.
Test(websocket_link_layer, invalid_input_closes_only_its_own_link) {
  LinkOptions options = OptionsWithKey();
  options.handshake_timeout = Milliseconds(300);
  LinkFixture fixture(OptionsWithKey(), options);
  const std::string upgrade = kUpgrade;
  const auto frame = [&](char first, const std::string& payload) {
    return upgrade + ClientFrame(first, payload);
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
      {"truncated header", upgrade.substr(0, 40), true, "peer_unreachable"},
      {"truncated frame", upgrade + "\x82\xff", true, "peer_unreachable"},
      {"incomplete frame", frame('\x82', "abc").substr(0, upgrade.size() + 8),
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
    const uint64_t before = fixture.b.EndCount(input.reason);
    const int fd = ConnectRaw(fixture.b.address, input.bytes);
    if (input.closes) {
      close(fd);
    }
    ++ended;
    cr_expect(
        fixture.Run([&] { return fixture.b.EndCount(input.reason) > before; }),
        "%s", input.name);
    uint64_t all = 0;
    for (const auto& [code, count] : fixture.b.layer->end_counts()) {
      all += count;
    }
    cr_expect_eq(all, ended, "%s", input.name);
    if (!input.closes) {
      close(fd);
    }
  }
  cr_expect(fixture.Run([&] { return fixture.b.layer->link_count() == 0; }));
  cr_expect(fixture.b.downs.empty());
  cr_expect(fixture.LinkUp());
}

// Guards against unbounded memory for responses to a peer that is not
// authenticated and never reads them.
Test(websocket_link_layer, peer_that_pings_without_reading_is_closed) {
  LinkFixture fixture;
  const int fd = ConnectRaw(fixture.b.address, kUpgrade);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  const int small_buffer = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small_buffer, sizeof(small_buffer));
  const std::string pings = Pings(100);
  cr_expect(fixture.Run([&] {
    [[maybe_unused]] const ssize_t sent =
        send(fd, pings.data(), pings.size(), MSG_NOSIGNAL);
    return fixture.b.EndCount("overloaded") == 1;
  }));
  close(fd);
}

// Guards against a link that comes up although its queue has overflowed during
// the handshake: it would carry no frame and not end by itself.
Test(websocket_link_layer, full_queue_during_the_handshake_ends_it) {
  constexpr LinkId kLink = 1;
  constexpr size_t kQueueLimit = 65'536;
  LinkOptions options = OptionsWithKey("");
  options.handshake_timeout = Milliseconds(60'000);
  LinkFixture fixture(options, options);
  // Without a key the proof does not depend on the hello of the node.
  LinkHandshake handshake(/*is_client=*/true, options.shared_key);
  const int fd = ConnectRaw(
      fixture.b.address,
      kUpgrade + ClientFrame('\x82', handshake.MakeHello(fixture.a.self)));
  fcntl(fd, F_SETFL, O_NONBLOCK);
  const int small_buffer = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small_buffer, sizeof(small_buffer));
  // libevent reads at most 4,096 bytes in a turn of the loop. All sends are
  // smaller and arrive one by one, so that the node never lags behind.
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  // The responses to the pings fill the socket, which nobody reads, then the
  // queue.
  const std::string many = Pings(30);
  const std::string few = Pings(5);
  const auto fill = [&] {
    const size_t queued = fixture.b.layer->QueuedBytes(kLink);
    if (queued > kQueueLimit - 1'500) {
      return true;
    }
    const std::string& pings = queued > kQueueLimit / 2 ? few : many;
    cr_assert_eq(send(fd, pings.data(), pings.size(), MSG_NOSIGNAL),
                 static_cast<ssize_t>(pings.size()));
    return false;
  };
  // With a sanitizer on a busy machine one run of 5 s may be too short.
  bool is_full = false;
  for (int i = 0; i < 6 && !is_full; ++i) {
    is_full = fixture.Run(fill);
  }
  cr_assert(is_full);
  cr_assert_eq(fixture.b.EndCount("overloaded"), 0u);
  // The node reads the proof together with the ping that overflows the queue.
  const std::string last =
      Pings(20) + ClientFrame('\x82', handshake.MakeProof());
  cr_assert_eq(send(fd, last.data(), last.size(), MSG_NOSIGNAL),
               static_cast<ssize_t>(last.size()));
  cr_expect(fixture.Run([&] { return fixture.b.EndCount("overloaded") == 1; }));
  cr_expect(fixture.b.peers.empty());
  close(fd);
}

// Guards against an authenticated peer that makes a node buffer frames over the
// limit.
Test(websocket_link_layer, oversized_frame_closes_link) {
  LinkOptions small = OptionsWithKey();
  small.max_frame_bytes = 1000;
  LinkFixture fixture(OptionsWithKey(), small);
  cr_assert(fixture.LinkUp());
  fixture.a.layer->Send(fixture.a.link, std::string(1000, 'x'));
  fixture.a.layer->Send(fixture.a.link, std::string(1001, 'x'));
  cr_assert(fixture.Run(
      [&] { return !fixture.a.downs.empty() && !fixture.b.downs.empty(); }));
  cr_assert(fixture.b.frames.size() == 1 &&
            fixture.b.downs[0].code == FailureCode::kTooLarge);
  fixture.a.link = fixture.b.link = 0;
  cr_assert(fixture.LinkUp());
  fixture.b.layer->Send(fixture.b.link, std::string(1001, 'x'));
  cr_assert_eq(fixture.b.downs.size(), 1u);
  cr_assert(fixture.Run([&] { return fixture.b.downs.size() == 2; }));
  cr_assert(fixture.b.downs[1].code == FailureCode::kTooLarge);
}

// Guards against a send queue that grows without bound, and against OnDown()
// within Send().
Test(websocket_link_layer, full_send_queue_closes_link) {
  LinkOptions small = OptionsWithKey();
  small.max_queue_bytes = 100'000;
  LinkFixture fixture(small, OptionsWithKey());
  cr_assert(fixture.LinkUp());
  for (int i = 0; i < 100; ++i) {
    fixture.a.layer->Send(fixture.a.link, std::string(10'000, 'x'));
    cr_assert_leq(fixture.a.layer->QueuedBytes(fixture.a.link), 100'000u);
  }
  cr_assert(fixture.a.downs.empty());
  cr_assert(fixture.Run([&] { return fixture.a.downs.size() == 1; }));
  cr_assert(fixture.a.downs[0].code == FailureCode::kOverloaded);
  fixture.a.layer->Send(fixture.a.link, "late");
  cr_assert(fixture.Run([&] { return fixture.a.layer->link_count() == 0; }));
  cr_assert(fixture.b.frames.size() < 100);
}

// Guards against frames that are lost because the node stops right after
// queuing them, and against events of a link that this node has closed.
Test(websocket_link_layer, shutdown_sends_queued_frames) {
  LinkFixture fixture;
  cr_assert(fixture.LinkUp());
  fixture.a.layer->Send(fixture.a.link, std::string(3'000'000, 'x'));
  fixture.a.layer->Send(fixture.a.link, "last");
  bool closed = false;
  fixture.a.layer->Shutdown([&] { closed = true; });
  fixture.b.layer->Send(fixture.b.link, "into the closing");
  cr_assert(fixture.Run([&] { return closed && !fixture.b.downs.empty(); }));
  cr_assert(fixture.b.frames.size() == 2 && fixture.b.frames[1] == "last");
  cr_assert(fixture.b.downs[0].code == FailureCode::kCancelled, "%s",
            fixture.b.downs[0].ToString().c_str());
  cr_assert(fixture.a.downs.empty() && fixture.a.frames.empty());
}

// Guards against a stop that does not end because the core dials a peer after
// its links were closed.
Test(websocket_link_layer, connect_after_shutdown_does_not_delay_its_end) {
  LinkFixture fixture;
  cr_assert(fixture.LinkUp());
  bool closed = false;
  fixture.a.layer->Shutdown([&] { closed = true; });
  fixture.a.layer->Connect(fixture.b.address);
  fixture.a.layer->Close(fixture.a.layer->Connect(fixture.b.address));
  cr_assert(fixture.a.downs.empty());
  cr_assert(fixture.Run([&] { return closed; }));
  cr_assert(fixture.Run([&] { return fixture.a.downs.size() == 1; }));
  cr_assert(fixture.a.downs[0].code == FailureCode::kCancelled);
  cr_assert_eq(fixture.b.peers.size(), 1u);
}

// Guards against events within Connect(), events for closed links, and missing
// events.
Test(websocket_link_layer,
     failed_connection_is_reported_once_and_asynchronously) {
  LinkOptions one = OptionsWithKey();
  one.max_inbound = 1;
  LinkFixture fixture(OptionsWithKey(), one);
  const HostPort unused_address = {"127.0.0.1", 1};
  fixture.a.layer->Close(fixture.a.layer->Connect(unused_address));
  fixture.a.layer->Connect(unused_address);
  fixture.a.layer->Connect(fixture.a.address);
  cr_assert(fixture.a.downs.empty());
  cr_assert(fixture.Run([&] { return fixture.a.downs.size() == 2; }));
  cr_assert(fixture.a.downs[0].code == FailureCode::kPeerUnreachable ||
            fixture.a.downs[1].code == FailureCode::kPeerUnreachable);
  // The link of the node to itself is rejected.
  cr_assert(fixture.a.EndCount("peer_rejected") >= 1);
  cr_assert(fixture.LinkUp());
  fixture.a.layer->Connect(fixture.b.address);
  cr_assert(fixture.Run([&] { return fixture.a.downs.size() == 3; }));
  cr_assert_eq(fixture.b.peers.size(), 1u);
}

// Guards against connections that never authenticate and keep a node from
// connecting until they time out.
Test(websocket_link_layer, slow_handshake_makes_way_for_a_node) {
  LinkOptions one = OptionsWithKey();
  one.max_inbound = 1;
  one.handshake_timeout = Milliseconds(60'000);
  LinkFixture fixture(OptionsWithKey(), one);
  const Socket silent(fixture.b.address.address, fixture.b.address.port);
  const TimePoint later = fixture.clock.Now() + Milliseconds(700);
  cr_assert(fixture.Run([&] { return fixture.clock.Now() > later; }));
  fixture.a.layer->Connect(fixture.b.address);
  cr_assert(fixture.Run([&] { return fixture.b.peers.size() == 1; }));
  cr_expect_eq(fixture.b.EndCount("overloaded"), 1u);
}

// Guards against a node without a key that connects to peers on other hosts.
Test(websocket_link_layer, without_key_rejects_peers_outside_loopback) {
  LinkFixture fixture(OptionsWithKey(""), OptionsWithKey(""));
  fixture.a.layer->Connect({"192.0.2.1", 1});
  cr_assert(fixture.Run([&] { return fixture.a.downs.size() == 1; }));
  cr_assert(fixture.a.downs[0].code == FailureCode::kPeerRejected);
}

}  // namespace dragonflytack
