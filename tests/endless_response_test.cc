// Servers that send bytes that are no response, or a response without end,
// until the caller closes the connection.

#include "dragonflytack/calls/call_task.h"

#include <sys/resource.h>
#include <sys/socket.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "base/buffer_budget.h"
#include "call_fixture.h"
#include "calls/http_headers.h"
#include "endless_sender.h"

namespace dragonflytack {

namespace {

// Bytes that a server sends: `prefix` once, then `unit` without end.
struct Stream {
  const char* name;
  std::string prefix;
  std::string unit;
  // Expected answer if the server sends as fast as it can.
  int status;
  const char* outcome;
  const char* reason;
};

const char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<Stream> Streams() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = kChunkedHead;
  const char* const broken = "upstream_failed";
  return {
      {"no line end", "", "x", 504, "unknown", broken},
      {"header line", ok + "X-A: ", "x", 504, "unknown", broken},
      {"header lines", ok, "a:b\r\n", 504, "unknown", broken},
      {"empty header values", ok, "a:\r\n", 504, "unknown", broken},
      {"continue", "", "HTTP/1.1 100 Continue\r\n\r\n", 504, "unknown", broken},
      {"continue with headers", "", "HTTP/1.1 100 Continue\r\na: b\r\n\r\n",
       504, "unknown", broken},
      {"continue with a long header", "",
       "HTTP/1.1 100 Continue\r\na: " + std::string(30'000, 'b') + "\r\n\r\n",
       504, "unknown", broken},
      {"early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n", 504,
       "unknown", broken},
      {"bytes past the length", ok + "Content-Length: 2\r\n\r\nok", "x", 200,
       "done", ""},
      {"bytes past no content", "HTTP/1.1 204 No Content\r\n\r\n", "x", 204,
       "done", ""},
      {"chunks", chunked, "4\r\nabcd\r\n", 504, "unknown", "too_large"},
      {"chunks of one byte", chunked, "1\r\nx\r\n", 504, "unknown", broken},
      {"chunk size", chunked, "0", 504, "unknown", broken},
      {"chunk size after a chunk", chunked + "4\r\nabcd\r\n", "0", 504,
       "unknown", broken},
      {"chunk size after a long chunk",
       chunked + "300000\r\n" + std::string(0x300000, 'x') + "\r\n", "0", 504,
       "unknown", broken},
      {"chunk extension", chunked + "4 ;", "x", 504, "unknown", broken},
      {"empty lines between chunks", chunked, "\r\n", 504, "unknown", broken},
      {"trailer line", chunked + "4\r\nabcd\r\n0\r\nX-A: ", "x", 504, "unknown",
       broken},
      {"trailers", chunked + "4\r\nabcd\r\n0\r\n", "a:b\r\n", 504, "unknown",
       broken},
      {"body until the connection closes", ok + "\r\n", "x", 504, "unknown",
       "too_large"},
  };
}

Milliseconds ProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto of = [](const timeval& time) {
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::microseconds(time.tv_usec);
  };
  return std::chrono::duration_cast<Milliseconds>(of(usage.ru_utime) +
                                                  of(usage.ru_stime));
}

// A response of the largest size in the daemon beside the target and in that
// of the caller, and what the allocator keeps.
constexpr size_t kMaxGrowth = 4 * kMaxBodyBytes;

// Port of the server: that of a target, or that of a node for the peers' hop.
constexpr uint16_t kPorts[] = {CallFixture::kTargetPort,
                               CallFixture::kMeshPort};

}  // namespace

// Guards against an endless response that holds its call until the deadline,
// takes unbounded memory, is passed on as a response, or makes a call that may
// have run repeat or count as not run.
Test(endless_response,
     one_time_call_fails_at_once_and_is_sent_once,
     .timeout = 240) {
  constexpr int kDeadlineMs = 5000;
  for (const uint16_t port : kPorts) {
    for (const Stream& stream : Streams()) {
      if (port == CallFixture::kMeshPort && stream.status != 504) {
        // A response of a node without its outcome header is unknown.
        continue;
      }
      CallFixture fixture(2, Row(ServiceKind::kOneTime));
      EndlessSender sender(stream.prefix, stream.unit, Milliseconds(0));
      const auto script = [&](int fd, const std::string&, int) {
        return sender.Run(fd);
      };
      if (port == CallFixture::kMeshPort) {
        fixture.Kill(1);
        fixture.Kill(2);
      }
      ScriptedTarget first(fixture.Address(1), port, script);
      ScriptedTarget second(fixture.Address(2), port, script);
      const MemoryGrowth growth;
      const HttpReply reply = fixture.Call("1", kDeadlineMs);
      cr_expect_eq(reply.status, stream.status, "%s on %d: %d", stream.name,
                   port, reply.status);
      ExpectEqual(reply.Header("x-outcome"), stream.outcome, stream.name);
      ExpectEqual(reply.Header("x-reason"), stream.reason, stream.name);
      cr_expect(reply.Latency() < Milliseconds(kDeadlineMs / 2), "%s: %d ms",
                stream.name, static_cast<int>(reply.Latency().count()));
      cr_expect(sender.WaitUntilClosed(1), "%s stays open", stream.name);
      cr_expect_eq(first.requests() + second.requests(), 1, "%s", stream.name);
      cr_expect_leq(sender.bytes(), 4 * kMaxBodyBytes + kSocketBuffers,
                    "%s: %zu bytes", stream.name, sender.bytes());
      const size_t memory = growth.bytes();
      cr_expect_leq(memory, kMaxGrowth, "%s on %d: %zu bytes", stream.name,
                    port, memory);
    }
  }
}

// Guards against a server that defers the deadline by a byte now and then, and
// against a daemon that spins while it waits.
Test(endless_response, slow_stream_ends_at_the_deadline, .timeout = 240) {
  constexpr int kDeadlineMs = 300;
  for (const uint16_t port : kPorts) {
    for (const Stream& stream : Streams()) {
      if (port == CallFixture::kMeshPort && stream.status != 504) {
        continue;
      }
      CallFixture fixture(2, Row(ServiceKind::kOneTime));
      EndlessSender sender(stream.prefix, stream.unit, Milliseconds(5));
      const auto script = [&](int fd, const std::string&, int) {
        return sender.Run(fd);
      };
      if (port == CallFixture::kMeshPort) {
        fixture.Kill(1);
        fixture.Kill(2);
      }
      ScriptedTarget first(fixture.Address(1), port, script);
      ScriptedTarget second(fixture.Address(2), port, script);
      const Milliseconds used = ProcessorTime();
      const HttpReply reply = fixture.Call("1", kDeadlineMs);
      const auto spent = ProcessorTime() - used;
      cr_expect_eq(reply.status, stream.status, "%s on %d: %d", stream.name,
                   port, reply.status);
      ExpectEqual(reply.Header("x-outcome"), stream.outcome, stream.name);
      cr_expect(reply.Latency() < Milliseconds(kDeadlineMs) + kSlack,
                "%s: %d ms", stream.name,
                static_cast<int>(reply.Latency().count()));
      cr_expect(sender.WaitUntilClosed(1), "%s stays open", stream.name);
      cr_expect_eq(first.requests() + second.requests(), 1, "%s", stream.name);
      cr_expect(spent < Milliseconds(kDeadlineMs / 2), "%s: %d ms", stream.name,
                static_cast<int>(spent.count()));
    }
  }
}

// Guards against endless responses that delay other calls through the same
// nodes.
Test(endless_response, other_calls_are_served_meanwhile, .timeout = 240) {
  for (const Stream& stream : Streams()) {
    CallFixture fixture(1, Row(ServiceKind::kOneTime));
    EndlessSender sender(stream.prefix, stream.unit, Milliseconds(0));
    ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                          [&](int fd, const std::string& head, int n) {
                            return RequestId(head) == "bad"
                                       ? sender.Run(fd)
                                       : RespondWithRequestId(fd, head, n);
                          });
    std::atomic<bool> ended = false;
    std::thread endless([&] {
      for (int i = 0; i < 3; ++i) {
        fixture.Call("bad", 1000);
      }
      ended = true;
    });
    Milliseconds slowest{0};
    for (int i = 0; i < 10 || !ended; ++i) {
      const std::string id = std::to_string(i);
      const HttpReply reply = fixture.Call(id, 1000);
      ExpectEqual(reply.body, id, stream.name);
      slowest = std::max(slowest, reply.Latency());
    }
    endless.join();
    cr_expect(slowest < kSlack, "%s: %d ms", stream.name,
              static_cast<int>(slowest.count()));
    cr_expect(sender.WaitUntilClosed(3), "%s stays open", stream.name);
  }
}

// Guards against an idempotent call that fails although another target
// responds, because the bytes of a faulty target count as a response that is
// too large.
Test(endless_response,
     idempotent_call_is_served_by_another_target,
     .timeout = 240) {
  for (const Stream& stream : Streams()) {
    if (stream.reason != std::string("upstream_failed")) {
      continue;
    }
    CallFixture fixture(2, Row(ServiceKind::kIdempotent));
    EndlessSender sender(stream.prefix, stream.unit, Milliseconds(0));
    ScriptedTarget bad(
        fixture.Address(1), CallFixture::kTargetPort,
        [&](int fd, const std::string&, int) { return sender.Run(fd); });
    ScriptedTarget good(fixture.Address(2), CallFixture::kTargetPort,
                        RespondWithRequestId);
    // The choice between the targets is random, so the first calls may all go
    // to the other one.
    for (int i = 0; i < 6 || (bad.requests() == 0 && i < 60); ++i) {
      const std::string id = std::to_string(i);
      ExpectEqual(fixture.Call(id, 5000).body, id, stream.name);
    }
    cr_expect_gt(bad.requests(), 0, "%s", stream.name);
  }
}

// Guards against limits that refuse a regular response, and against headers of
// an interim response that reach the caller.
Test(endless_response, interim_responses_are_skipped) {
  const std::string interim =
      "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n"
      "HTTP/1.1 100 Continue\r\nX-Interim: 1\r\n\r\n"
      "HTTP/1.1 102 Processing\r\nContent-Length: 9\r\n\r\n";
  CallFixture fixture(1, Row(ServiceKind::kOneTime));
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        [&](int fd, const std::string& head, int n) {
                          send(fd, interim.data(), interim.size(),
                               MSG_NOSIGNAL);
                          return RespondWithRequestId(fd, head, n);
                        });
  for (int i = 0; i < 4; ++i) {
    const std::string id = std::to_string(i);
    const HttpReply reply = fixture.Call(id, 1000);
    cr_expect_eq(reply.status, 200, "%d", reply.status);
    ExpectEqual(reply.body, id);
    ExpectEqual(reply.Header("link"), "");
    ExpectEqual(reply.Header("x-interim"), "");
  }
  cr_expect_eq(target.requests(), 4);
  cr_expect_eq(target.closed(), 0);
}

// Guards against memory of interim responses that is never freed.
Test(endless_response, interim_responses_leave_no_memory) {
  constexpr int kCalls = 400;
  std::string interim;
  for (int i = 0; i < 4; ++i) {
    interim += "HTTP/1.1 100 " + std::string(30'000, 'x') + "\r\n\r\n";
  }
  CallFixture fixture(1, Row(ServiceKind::kOneTime));
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        [&](int fd, const std::string& head, int n) {
                          send(fd, interim.data(), interim.size(),
                               MSG_NOSIGNAL);
                          return RespondWithRequestId(fd, head, n);
                        });
  const MemoryGrowth growth;
  for (int i = 0; i < kCalls; ++i) {
    ExpectEqual(fixture.Call(std::to_string(i), 1000).body, std::to_string(i));
  }
  // All interim responses take 48 MB.
  cr_expect_leq(growth.bytes(), kMaxGrowth, "%zu bytes", growth.bytes());
}

// Guards against limits of the framing that refuse a regular chunked response.
Test(endless_response, regular_chunked_responses_are_complete) {
  struct Case {
    size_t body_bytes;
    size_t chunk_bytes;
  };
  for (const auto& [body_bytes, size] :
       {Case{0, 1}, Case{10'000, 1}, Case{1'000'000, 64},
        Case{kMaxBodyBytes, 1 << 20}}) {
    const std::string body(body_bytes, 'x');
    std::string text = kChunkedHead;
    for (size_t at = 0; at < body.size(); at += size) {
      const std::string chunk = body.substr(at, size);
      text += fmt::format("{:x} ;name=value\r\n{}\r\n", chunk.size(), chunk);
    }
    text += "0\r\nX-Trailer: 1\r\n\r\n";
    CallFixture fixture(1, Row(ServiceKind::kOneTime));
    ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                          [&](int fd, const std::string&, int) {
                            const size_t half = text.size() / 2;
                            send(fd, text.data(), half, MSG_NOSIGNAL);
                            std::this_thread::sleep_for(Milliseconds(10));
                            send(fd, text.data() + half, text.size() - half,
                                 MSG_NOSIGNAL);
                            return true;
                          });
    for (int n = 0; n < 2; ++n) {
      const HttpReply reply = fixture.Call("1", 2000);
      cr_expect_eq(reply.status, 200, "%zu: %d", body_bytes, reply.status);
      cr_expect(reply.body == body, "%zu: %zu bytes", body_bytes,
                reply.body.size());
    }
    cr_expect_eq(target.closed(), 0, "%zu", body_bytes);
  }
}

// Guards against many endless responses that stay below the limit of one
// response and together take the memory of the process, and against other calls
// that fail meanwhile.
Test(endless_response, many_at_once_share_one_budget, .timeout = 120) {
  constexpr int kEndless = 200;
  constexpr int kBudgetMb = 8;
  ServiceRow row = Row(ServiceKind::kOneTime);
  row.slots = row.max_connections = 2 * kEndless;
  row.max_queue = 2 * kEndless;
  for (const char* head : {"HTTP/1.1 200 OK\r\n\r\n", kChunkedHead}) {
    CallFixture fixture(1, row, kBudgetMb);
    const bool is_chunked = head == kChunkedHead;
    EndlessSender sender(
        head, is_chunked ? "400\r\n" + std::string(1'024, 'x') + "\r\n" : "x",
        Milliseconds(0));
    std::atomic<int> begun = 0;
    ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                          [&](int fd, const std::string& request, int n) {
                            if (RequestId(request) != "bad") {
                              return RespondWithRequestId(fd, request, n);
                            }
                            // All begin to send at the same time.
                            ++begun;
                            for (int i = 0; i < 5'000 && begun < kEndless;
                                 ++i) {
                              std::this_thread::sleep_for(Milliseconds(1));
                            }
                            return sender.Run(fd);
                          });
    const MemoryGrowth growth;
    std::vector<std::thread> callers;
    std::atomic<int> unknown = 0;
    for (int i = 0; i < kEndless; ++i) {
      callers.emplace_back([&] {
        const HttpReply reply = fixture.Call("bad", 20'000);
        unknown += reply.status == 504 ? 1 : 0;
      });
    }
    while (unknown < kEndless / 2) {
      ExpectEqual(fixture.Call("good", 20'000).body, "good");
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    cr_expect_eq(unknown, kEndless, "%d", unknown.load());
    // Both nodes run in this process, with a budget each, beside 400 threads
    // and their sockets.
    constexpr size_t kBound =
        2 * (kBudgetMb << 20) +
        2 * kEndless * (BufferBudget::kGuaranteedBytes + (64 << 10));
    cr_expect_leq(growth.bytes(), kBound, "%zu bytes", growth.bytes());
  }
}

}  // namespace dragonflytack
