// Crowds at other paces than those of hostile_input_test.cc, and larger ones.
// The crowds were fixed on the code that failed with them. The tests run one at
// a time, apart from other load.

#include <deque>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "hostile_fixture.h"

namespace dragonflytack {

namespace {

// Just short of the largest body, 4 MB.
constexpr size_t kAnnouncedBytes = (4 << 20) - (100 << 10);
// The size of a chunk that the sender does not complete.
constexpr size_t kAnnouncedChunk = (4 << 20) - (60 << 10);
// What is sent of them.
constexpr size_t kSentBytes = kAnnouncedBytes - 100;
constexpr int kCrowd = 300;

// Between a crowd whose bytes wait in the kernel and one that the node reads at
// once.
constexpr Milliseconds kPaces[] = {Milliseconds(0), Milliseconds(2),
                                   Milliseconds(10)};

const std::string kPost = "POST /roster/a HTTP/1.1\r\nHost: h\r\n";
const std::string kCall = "GET /roster/a HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kForwarded =
    "GET /a HTTP/1.1\r\nHost: h\r\nx-service: roster\r\n"
    "x-deadline-ms: 5000\r\n\r\n";

// Sends what each connection begins with at each pace, followed by most of the
// body. `kept_open` is the number of connections that stay open.
void CheckBodies(uint16_t port,
                 const std::string& request,
                 const std::string& prefix,
                 int kept_open = kCrowd) {
  HostileFixture fixture;
  for (const Milliseconds pace : kPaces) {
    fixture.Check(port,
                  {{.connections = kCrowd,
                    .prefix = prefix,
                    .unit = "x",
                    .bytes = kSentBytes,
                    .one_after_another = true,
                    .pause = pace,
                    .kept_open = kept_open}},
                  request);
  }
}

std::string Announced(const std::string& headers = "") {
  return fmt::format("{}{}Content-Length: {}\r\n\r\n", kPost, headers,
                     kAnnouncedBytes);
}

std::string AnnouncedChunk() {
  return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n", kPost,
                     kAnnouncedChunk);
}

// Requests without end whose responses are not read, on more connections than
// the node has descriptors.
std::vector<HostileInput> UnreadResponses(const std::string& request) {
  return {{.connections = 700, .unit = request, .bytes = 256 << 10}};
}

}  // namespace

// Each test guards against the memory of connections that were dropped or whose
// peer left, and that is not free until later.
#define HOSTILE_BODY_TESTS(suite, port, request)                         \
  Test(suite, announced_bodies_one_after_another, .timeout = 120) {      \
    CheckBodies(port, request, Announced());                             \
  }                                                                      \
  Test(suite, bodies_of_callers_that_leave_and_return, .timeout = 120) { \
    constexpr int kKeptOpen = 20;                                        \
    CheckBodies(port, request, Announced(), kKeptOpen);                  \
  }                                                                      \
  Test(suite, unfinished_chunks_one_after_another, .timeout = 120) {     \
    CheckBodies(port, request, AnnouncedChunk());                        \
  }                                                                      \
  Test(suite, bodies_behind_a_request, .timeout = 120) {                 \
    CheckBodies(port, request, (request) + Announced());                 \
  }                                                                      \
  Test(suite, bodies_after_an_interim_response, .timeout = 120) {        \
    CheckBodies(port, request, Announced("Expect: 100-continue\r\n"));   \
  }

HOSTILE_BODY_TESTS(hostile_call_bodies, HostileFixture::kCallPort, kCall)
HOSTILE_BODY_TESTS(hostile_mesh_bodies, HostileFixture::kMeshPort, kForwarded)

// Each test guards against a caller that is refused because many connections of
// others pipeline calls without reading the responses.
Test(hostile_crowd, unread_responses_of_the_call_port, .timeout = 240) {
  HostileFixture().Check(HostileFixture::kCallPort, UnreadResponses(kCall),
                         kCall);
}

Test(hostile_crowd, unread_responses_of_pipelined_calls, .timeout = 240) {
  constexpr int kMaxPipelined = 8;
  HostileFixture("dragonflytackd", kMaxPipelined)
      .Check(HostileFixture::kCallPort, UnreadResponses(kCall), kCall);
}

Test(hostile_crowd, unread_responses_of_the_mesh_port, .timeout = 240) {
  HostileFixture().Check(HostileFixture::kMeshPort, UnreadResponses(kForwarded),
                         kForwarded);
}

// Guards against connections that never authenticate and keep nodes from
// connecting.
Test(hostile_peer_crowd, idle_connections) {
  const HostileFixture fixture;
  const std::string upgrade = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  fixture.ExpectAnswer(HostileFixture::kPeerPort, upgrade);
  std::deque<Socket> crowd;
  for (int i = 0; i < kCrowd; ++i) {
    crowd.emplace_back(fixture.address(), HostileFixture::kPeerPort);
  }
  // Half of the time after which such a connection ends anyway.
  std::this_thread::sleep_for(Milliseconds(1'500));
  fixture.ExpectAnswer(HostileFixture::kPeerPort, upgrade);
}

}  // namespace dragonflytack
