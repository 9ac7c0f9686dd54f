// Clients that send more than the limits allow, each against the processes of
// the system. The crowds and the bounds were fixed on the code without limits
// on input. The tests run one at a time, apart from other load.

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "hostile_fixture.h"

namespace dragonflytack {

namespace {

constexpr size_t kLimitedBody = 4 << 20;
// Just short of the largest body.
constexpr size_t kAlmostBody = kLimitedBody - (100 << 10);
constexpr size_t kFarOverBody = 16 << 20;

const std::string kPost = "POST /roster/a HTTP/1.1\r\nHost: h\r\n";
const std::string kChunked = kPost + "Transfer-Encoding: chunked\r\n\r\n";

std::string Chunk(size_t size) {
  return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
}

std::string Announced(size_t size) {
  return fmt::format("{}Content-Length: {}\r\n\r\n", kPost, size);
}

// Ordinary requests.
const std::string kCall = "GET /roster/a HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kForwarded =
    "GET /a HTTP/1.1\r\nHost: h\r\nx-service: roster\r\n"
    "x-deadline-ms: 5000\r\n\r\n";
const std::string kStatus = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";

std::vector<HostileInput> Heads() {
  return {
      {.connections = 30,
       .prefix = "GET / HTTP/1.1\r\nA: ",
       .unit = "aaaaaaaaaaaaaaaa",
       .bytes = 4 << 20},
      {.connections = 30,
       .prefix = "GET / HTTP/1.1\r\n",
       .unit = "A: aaaaaaaaaaa\r\n",
       .bytes = 4 << 20},
      {.connections = 60, .prefix = "GET / HTTP/1.1\r\nHost: h\r\nA: a"},
  };
}

std::vector<HostileInput> EmptyLines() {
  return {{.connections = 30, .unit = "\r\n", .bytes = 4 << 20},
          {.connections = 30, .unit = "\n", .bytes = 4 << 20}};
}

std::vector<HostileInput> LargeChunks() {
  return {
      {.prefix = kChunked, .unit = Chunk(64 << 10), .bytes = kAlmostBody},
      {.connections = 8,
       .prefix = kChunked + "3e0000\r\n",
       .unit = "x",
       .bytes = kAlmostBody},
  };
}

std::vector<HostileInput> SmallChunks() {
  return {{.connections = 24,
           .prefix = kChunked,
           .unit = Chunk(8),
           .bytes = kAlmostBody / 8 * Chunk(8).size()}};
}

std::vector<HostileInput> SmallSegments() {
  return {{.connections = 50,
           .prefix = Announced(kAlmostBody),
           .unit = "x",
           .bytes = 3'000,
           .separate_segments = true}};
}

std::vector<HostileInput> AnnouncedBodies() {
  return {{.prefix = Announced(kAlmostBody),
           .unit = "x",
           .bytes = kAlmostBody - 100}};
}

std::vector<HostileInput> BodiesOverTheLimit() {
  return {{.connections = 30,
           .prefix = Announced(size_t{4} << 30),
           .unit = "x",
           .bytes = kFarOverBody},
          {.connections = 30,
           .prefix = kChunked,
           .unit = Chunk(16 << 10),
           .bytes = kFarOverBody}};
}

std::vector<HostileInput> Pipelined(const std::string& request) {
  return {{.connections = 40,
           .prefix = request + kChunked,
           .unit = Chunk(16 << 10),
           .bytes = kAlmostBody},
          {.connections = 20,
           .prefix = request + request + Announced(kAlmostBody),
           .unit = "x",
           .bytes = kAlmostBody - 100},
          // Requests without end whose responses are not read.
          {.connections = 20, .unit = request, .bytes = kLimitedBody}};
}

std::vector<HostileInput> IdleConnections() {
  return {{.connections = 300},
          {.connections = 300, .prefix = "GET / HTTP/1.1\r\n"}};
}

void Check(uint16_t port,
           const std::vector<HostileInput>& inputs,
           const std::string& request) {
  HostileFixture().Check(port, inputs, request);
}

}  // namespace

// Each test guards against a process that runs out of memory or descriptors, or
// stops to serve others, because of the input that its name states.
#define HOSTILE_TESTS(suite, port, request)     \
  Test(suite, heads_over_the_limit) {           \
    Check(port, Heads(), request);              \
  }                                             \
  Test(suite, empty_lines) {                    \
    Check(port, EmptyLines(), request);         \
  }                                             \
  Test(suite, large_chunks) {                   \
    Check(port, LargeChunks(), request);        \
  }                                             \
  Test(suite, small_chunks) {                   \
    Check(port, SmallChunks(), request);        \
  }                                             \
  Test(suite, small_segments) {                 \
    Check(port, SmallSegments(), request);      \
  }                                             \
  Test(suite, announced_bodies) {               \
    Check(port, AnnouncedBodies(), request);    \
  }                                             \
  Test(suite, bodies_over_the_limit) {          \
    Check(port, BodiesOverTheLimit(), request); \
  }                                             \
  Test(suite, pipelined) {                      \
    Check(port, Pipelined(request), request);   \
  }                                             \
  Test(suite, idle_connections) {               \
    Check(port, IdleConnections(), request);    \
  }

HOSTILE_TESTS(hostile_call, HostileFixture::kCallPort, kCall)
HOSTILE_TESTS(hostile_mesh, HostileFixture::kMeshPort, kForwarded)

// Each test guards against the same on a port of the control task, with all
// kinds of input one after the other.
Test(hostile_control, admin_port) {
  HostileFixture fixture;
  for (const auto& inputs :
       {Heads(), EmptyLines(), LargeChunks(), SmallSegments(),
        BodiesOverTheLimit(), Pipelined(kStatus)}) {
    fixture.Check(HostileFixture::kAdminPort, inputs, kStatus);
  }
}

Test(hostile_control, admin_port_idle_connections) {
  Check(HostileFixture::kAdminPort, IdleConnections(), kStatus);
}

Test(hostile_control, ready_port) {
  HostileFixture fixture;
  for (const auto& inputs :
       {Heads(), EmptyLines(), LargeChunks(), SmallSegments(),
        BodiesOverTheLimit(), Pipelined(kStatus)}) {
    fixture.Check(HostileFixture::kReadyPort, inputs, kStatus);
  }
}

Test(hostile_control, ready_port_idle_connections) {
  Check(HostileFixture::kReadyPort, IdleConnections(), kStatus);
}

Test(hostile_control, target_port) {
  HostileFixture fixture("dragonflytackd-platform");
  for (const auto& inputs :
       {Heads(), EmptyLines(), LargeChunks(), SmallSegments(),
        BodiesOverTheLimit(), Pipelined(kStatus)}) {
    fixture.Check(HostileFixture::kTargetPort, inputs, kStatus);
  }
}

Test(hostile_control, target_port_idle_connections) {
  HostileFixture("dragonflytackd-platform")
      .Check(HostileFixture::kTargetPort, IdleConnections(), kStatus);
}

// Guards against handshakes without end, and connections that never
// authenticate, which take memory or the descriptors of the process.
Test(hostile_peer, handshakes_without_end) {
  HostileFixture fixture;
  for (const auto& inputs : {Heads(), EmptyLines(), IdleConnections()}) {
    fixture.Check(HostileFixture::kPeerPort, inputs,
                  "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  }
}

// Guards against requests that are read ahead, or their results, and take
// memory outside of the budget.
Test(hostile_call, pipelined_requests_that_are_read_ahead) {
  constexpr int kMaxPipelined = 8;
  HostileFixture fixture("dragonflytackd", kMaxPipelined);
  const std::string large_head =
      "GET /roster/a HTTP/1.1\r\nHost: h\r\nA: " + std::string(16'000, 'a') +
      "\r\n\r\n";
  const std::vector<HostileInput> large_heads = {
      {.unit = large_head, .bytes = kLimitedBody},
      {.prefix = kCall + large_head + large_head.substr(0, 12'000)}};
  for (const auto& inputs : {Heads(), Pipelined(kCall), large_heads}) {
    fixture.Check(HostileFixture::kCallPort, inputs, kCall);
  }
}

// Guards against limits that refuse clients within the documented limits: a
// slow head of nearly 16 KB, the largest body, a slow but steady body, and a
// connection that is used again after 15 s.
Test(hostile_limits, clients_within_the_limits_are_served) {
  const HostileFixture fixture;
  const auto expect_ok = [](const Socket& socket, const char* what) {
    const HttpReply reply = socket.Receive(Milliseconds(20'000));
    cr_expect_eq(reply.status, 200, "%s: %d", what, reply.status);
  };
  const auto send = [](const Socket& socket, const std::string& piece,
                       int count, Milliseconds pause) {
    for (int i = 0; i < count; ++i) {
      socket.Send(piece);
      std::this_thread::sleep_for(pause);
    }
  };
  const Socket idle(fixture.address(), HostileFixture::kCallPort);
  idle.Send(kCall);
  expect_ok(idle, "first request");
  const TimePoint idle_since = std::chrono::steady_clock::now();

  const Socket head(fixture.address(), HostileFixture::kCallPort);
  head.Send(kPost);
  send(head, "A: " + std::string(540, 'a') + "\r\n", 29, Milliseconds(95));
  head.Send("\r\n");
  expect_ok(head, "slow head");

  const Socket body(fixture.address(), HostileFixture::kCallPort);
  body.Send(Announced(kLimitedBody));
  send(body, std::string(kLimitedBody / 32, 'x'), 32, Milliseconds(50));
  expect_ok(body, "largest body");

  const Socket slow(fixture.address(), HostileFixture::kCallPort);
  slow.Send(kChunked);
  send(slow, Chunk(16), 14, Milliseconds(500));
  slow.Send("0\r\n\r\n");
  expect_ok(slow, "slow body");

  std::this_thread::sleep_until(idle_since + Milliseconds(15'000));
  idle.Send(kCall);
  expect_ok(idle, "request after 15 s");
}

}  // namespace dragonflytack
