// Stores that send bytes that are no response, or a response without end, until
// the client closes the connection.

#include "store/http_store_client.h"

#include <chrono>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "call_fixture.h"
#include "endless_sender.h"
#include "store/store_protocol.h"
#include "store_standin_fixture.h"

namespace dragonflytack {

namespace {

constexpr uint16_t kPort = 7300;
constexpr Milliseconds kTimeout{5000};

// A response of the largest size in the connection and in the result, and what
// the allocator keeps.
constexpr size_t kMaxGrowth = 4 * StoreProtocol::kMaxResponseBytes;

// What a chunked response may take besides its body.
constexpr size_t kMaxReadBytes =
    3 * StoreProtocol::kMaxResponseBytes + (512 << 10);

struct Stream {
  const char* name;
  std::string prefix;
  std::string unit;
  // Expected in the detail of the failure.
  std::string detail;
};

std::vector<Stream> Streams() {
  const std::string ok = "HTTP/1.1 200 OK\r\nx-version: 7\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string malformed = "malformed";
  const std::string too_large = "more than 1100000 bytes";
  return {
      {"no line end", "", "x", malformed},
      {"header line", ok + "X-A: ", "x", malformed},
      {"header lines", ok, "a:b\r\n", malformed},
      {"continue", "", "HTTP/1.1 100 Continue\r\n\r\n", malformed},
      {"continue with a long header", "",
       "HTTP/1.1 100 Continue\r\na: " + std::string(30'000, 'b') + "\r\n\r\n",
       malformed},
      {"early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n",
       malformed},
      {"announced body", ok + "Content-Length: 2000000000\r\n\r\n", "x",
       too_large},
      {"chunks", chunked, "4\r\nabcd\r\n", too_large},
      {"chunks of one byte", chunked, "1\r\nx\r\n", malformed},
      {"chunk size", chunked, "0", malformed},
      {"chunk size after a chunk", chunked + "4\r\nabcd\r\n", "0", malformed},
      {"chunk extension", chunked + "4 ;", "x", malformed},
      {"empty lines between chunks", chunked, "\r\n", malformed},
      {"trailers", chunked + "4\r\nabcd\r\n0\r\n", "a:b\r\n", malformed},
      {"body until the connection closes", ok + "\r\n", "x", too_large},
      {"event of a watch", ok + "\r\n{\"events\":[{\"object\":{\"spec\":\"",
       "x", too_large},
  };
}

// Runs a call against a store whose first connection sends the stream and whose
// next ones respond with version 7.
template <typename Call>
void ExpectOneFailure(const Stream& stream, Call call) {
  StoreStandinFixture fixture;
  EndlessSender sender(stream.prefix, stream.unit, Milliseconds(0));
  const std::string response =
      "HTTP/1.1 200 OK\r\nx-version: 7\r\nContent-Length: 0\r\n\r\n";
  ScriptedTarget store(
      LoopbackAddress(0), kPort, [&](int fd, const std::string&, int n) {
        if (n == 1) {
          return sender.Run(fd);
        }
        return send(fd, response.data(), response.size(), MSG_NOSIGNAL) > 0;
      });
  fixture.Connect({LoopbackAddress(0), kPort}, kTimeout);
  const MemoryGrowth growth;
  const TimePoint start = fixture.clock.Now();
  cr_expect(!call(&fixture), "%s", stream.name);
  const auto elapsed =
      std::chrono::duration_cast<Milliseconds>(fixture.clock.Now() - start);
  cr_expect(elapsed < kTimeout / 2, "%s: %d ms", stream.name,
            static_cast<int>(elapsed.count()));
  // A write may have taken effect.
  cr_expect(fixture.reason.code == FailureCode::kStoreTimeout &&
                fixture.reason.detail.find(stream.detail) != std::string::npos,
            "%s: %s", stream.name, fixture.reason.ToString().c_str());
  const size_t memory = growth.bytes();
  cr_expect_leq(memory, kMaxGrowth, "%s: %zu bytes", stream.name, memory);
  cr_expect(sender.WaitUntilClosed(1), "%s stays open", stream.name);
  cr_expect_leq(sender.bytes(), kMaxReadBytes + kSocketBuffers, "%s: %zu bytes",
                stream.name, sender.bytes());
  cr_expect(call(&fixture), "%s: %s", stream.name,
            fixture.reason.ToString().c_str());
  cr_expect_eq(store.requests(), 2, "%s", stream.name);
}

}  // namespace

// Guards against an endless response of the store that holds a call until its
// timeout, takes unbounded memory, keeps its connection open, has no reason, or
// fails the calls after it.
Test(endless_store_response,
     call_fails_at_once_and_the_next_one_succeeds,
     .timeout = 240) {
  for (const Stream& stream : Streams()) {
    ExpectOneFailure(stream, [](StoreStandinFixture* fixture) {
      return fixture->Put("a", "value", 0).has_value();
    });
  }
}

// Guards against the same for a watch, whose response may come late but is no
// longer than others.
Test(endless_store_response,
     watch_fails_at_once_and_the_next_one_succeeds,
     .timeout = 240) {
  for (const Stream& stream : Streams()) {
    ExpectOneFailure(stream, [](StoreStandinFixture* fixture) {
      return fixture->Watch("a", 1, 1000).has_value();
    });
  }
}

// Guards against a store that defers the timeout of a call by a few bytes now
// and then.
Test(endless_store_response, slow_stream_ends_at_the_timeout, .timeout = 240) {
  constexpr Milliseconds kShortTimeout{200};
  for (const Stream& stream : Streams()) {
    if (stream.unit.size() > 1000 || stream.detail.starts_with("more")) {
      // A few units are over the limits, or an announced length is.
      continue;
    }
    StoreStandinFixture fixture;
    EndlessSender sender(stream.prefix, stream.unit, Milliseconds(50));
    ScriptedTarget store(
        LoopbackAddress(0), kPort,
        [&](int fd, const std::string&, int) { return sender.Run(fd); });
    fixture.Connect({LoopbackAddress(0), kPort}, kShortTimeout);
    const TimePoint start = fixture.clock.Now();
    cr_expect(!fixture.Put("a", "value", 0).has_value(), "%s", stream.name);
    cr_expect(fixture.clock.Now() - start < kShortTimeout + kSlack, "%s",
              stream.name);
    ExpectEqual(fixture.reason.detail, "the store did not answer in time",
                stream.name);
    cr_expect(sender.WaitUntilClosed(1), "%s stays open", stream.name);
  }
}

// Guards against interim responses that are taken for the response of the store
// or end its call.
Test(endless_store_response, interim_responses_are_skipped) {
  const std::string response =
      "HTTP/1.1 103 Early Hints\r\nx-version: 1\r\n\r\n"
      "HTTP/1.1 100 Continue\r\nx-version: 2\r\n\r\n"
      "HTTP/1.1 200 OK\r\nx-version: 7\r\nContent-Length: 0\r\n\r\n";
  StoreStandinFixture fixture;
  ScriptedTarget store(
      LoopbackAddress(0), kPort, [&](int fd, const std::string&, int) {
        return send(fd, response.data(), response.size(), MSG_NOSIGNAL) > 0;
      });
  fixture.Connect({LoopbackAddress(0), kPort}, kTimeout);
  for (int i = 0; i < 3; ++i) {
    cr_expect(fixture.Put("a", "value", 0) == 7u, "%s",
              fixture.reason.ToString().c_str());
  }
  cr_expect_eq(store.requests(), 3);
  cr_expect_eq(store.closed(), 0);
}

}  // namespace dragonflytack
