#include "dragonflytack/calls/call_task.h"

#include <sys/socket.h>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "call_fixture.h"

namespace dragonflytack {

// Guards against responses that reach another caller or lack the outcome.
Test(call_task, every_caller_receives_its_own_response) {
  CallFixture fixture(2, Row(ServiceKind::kIdempotent));
  ScriptedTarget first(fixture.Address(1), CallFixture::kTargetPort,
                       RespondWithRequestId);
  ScriptedTarget second(fixture.Address(2), CallFixture::kTargetPort,
                        RespondWithRequestId);
  std::atomic<int> correct = 0;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; i < 50; ++i) {
        const std::string id = fmt::format("{}-{}", caller, i);
        const HttpReply reply = fixture.Call(id, 1000);
        correct += reply.status == 200 && reply.body == id &&
                           reply.Header("x-outcome") == "done"
                       ? 1
                       : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  cr_assert_eq(correct, 400);
  cr_assert(first.requests() > 0 && second.requests() > 0);
  // On a busy machine a call may take half of its time, after which it is
  // hedged. Each further request must be such a retry.
  const int further = first.requests() + second.requests() - 400;
  const int retries = fixture.CountRetries();
  cr_assert(further >= 0 && further <= retries,
            "%d further requests, %d retries", further, retries);
}

// Guards against evidence that stays in the call task, so that no roll-out can
// be decided.
Test(call_task, passes_on_what_its_target_responded) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent));
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        RespondWithRequestId);
  cr_assert_eq(fixture.Call("a", 1000).status, 200);
  uint64_t responses = 0;
  for (int i = 0; i < 100 && responses == 0; ++i) {
    std::this_thread::sleep_for(Milliseconds(20));
    for (const auto& [route, evidence] : fixture.Evidence(1).routes) {
      responses += evidence.responses;
    }
  }
  cr_expect_eq(responses, 1);
}

// Guards against a one-time call that is cancelled while its target runs it,
// because its caller disconnected.
Test(call_task, running_one_time_call_completes_after_its_caller_disconnects) {
  ServiceRow row = Row(ServiceKind::kOneTime);
  row.slots = 1;
  CallFixture fixture(1, row);
  ScriptedTarget target(
      fixture.Address(1), CallFixture::kTargetPort,
      [](int fd, const std::string& head, int n) {
        std::this_thread::sleep_for(Milliseconds(n == 1 ? 300 : 0));
        return RespondWithRequestId(fd, head, n);
      });
  {
    const Socket caller(fixture.Address(0), CallFixture::kCallPort);
    caller.Send(CallFixture::Request("gone", 5000));
    while (target.requests() == 0) {
      std::this_thread::sleep_for(Milliseconds(1));
    }
  }
  const HttpReply reply = fixture.Call("next", 2000);
  cr_assert_eq(reply.status, 200, "%d", reply.status);
  cr_assert_eq(target.requests(), 2);
  cr_assert_eq(target.closed(), 0);
}

// Guards against slots and connections that stay occupied after their caller
// disconnected.
Test(call_task, caller_disconnect_cancels_downstream_and_frees_the_slot) {
  ServiceRow row = Row(ServiceKind::kIdempotent);
  row.slots = 1;
  CallFixture fixture(1, row);
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        [](int fd, const std::string& head, int n) {
                          return n == 1 || RespondWithRequestId(fd, head, n);
                        });
  {
    const Socket caller(fixture.Address(0), CallFixture::kCallPort);
    caller.Send(CallFixture::Request("gone", 5000));
    while (target.requests() == 0) {
      std::this_thread::sleep_for(Milliseconds(1));
    }
  }
  const HttpReply reply = fixture.Call("next", 1000);
  cr_assert_eq(reply.status, 200, "%d", reply.status);
  cr_assert(reply.elapsed < Milliseconds(500));
  // The target's thread may read the end of the first connection after the
  // response on the second one. The limit is half a second after the
  // disconnect.
  const auto limit = std::chrono::steady_clock::now() + Milliseconds(500);
  while (target.closed() == 0 && std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
  cr_assert_eq(target.closed(), 1);
}

// Guards against internal headers that callers or targets can forge, and
// against hop-by-hop headers that are forwarded.
Test(call_task, hop_headers_are_stripped_both_ways) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent));
  std::string seen;
  ScriptedTarget target(
      fixture.Address(1), CallFixture::kTargetPort,
      [&](int fd, const std::string& head, int /*n*/) {
        seen = head;
        const std::string text =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nx-not-run: 1\r\n"
            "x-outcome: not-run\r\nx-load: 0.50\r\nConnection: x-hop\r\n"
            "x-hop: 1\r\nx-own: 1\r\n\r\nok";
        send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        return false;
      });
  const HttpReply reply =
      fixture.Call("1", 1000, "Connection: x-one\r\nx-one: 1\r\nx-two: 2\r\n");
  const HttpReply request{0, seen, "", Milliseconds(0)};
  ExpectEqual(request.Header("x-one"), "");
  ExpectEqual(request.Header("x-two"), "2");
  ExpectEqual(request.Header("x-service"), "");
  cr_expect_eq(request.Header("traceparent").size(), 55);
  const int left = std::stoi(request.Header("x-deadline-ms"));
  cr_expect(left > 500 && left < 1000, "%d", left);
  ExpectEqual(reply.Header("x-outcome"), "done");
  ExpectEqual(reply.Header("x-own"), "1");
  for (const char* name : {"x-hop", "x-not-run", "x-load", "x-target-us"}) {
    ExpectEqual(reply.Header(name), "", name);
  }
}

// Guards against responses to bad requests without a reason and outcome.
Test(call_task, bad_requests_are_refused_with_a_reason) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent));
  struct Case {
    const char* text;
    int status;
    const char* reason;
  };
  const Case cases[] = {
      {"GET /other/x HTTP/1.1\r\nHost: h\r\n\r\n", 404, "no_service"},
      {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad_request"},
      {"GET /s HTTP/1.1\r\nHost: h\r\nx-deadline-ms: 1x\r\n\r\n", 400,
       "bad_request"},
      {"GET /s HTTP/1.1\r\nHost: h\r\nx-deadline-ms: 0\r\n\r\n", 503,
       "deadline"},
  };
  for (const Case& bad : cases) {
    const Socket socket(fixture.Address(0), CallFixture::kCallPort);
    socket.Send(bad.text);
    const HttpReply reply = socket.Receive(Milliseconds(1000));
    cr_expect_eq(reply.status, bad.status, "%s: %d", bad.text, reply.status);
    ExpectEqual(reply.Header("x-reason"), bad.reason);
    ExpectEqual(reply.Header("x-outcome"), "not-run");
  }
}

// Guards against request smuggling: if two HTTP parsers derive different body
// lengths, one of them takes a part of the body for the next request.
Test(call_task, requests_with_an_ambiguous_length_are_refused) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent));
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        RespondWithRequestId);
  const char* const lengths[] = {
      "Content-Length: 2\r\nContent-Length: 3\r\n",
      "Content-Length: 2\r\nContent-Length: 2\r\n",
      "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
  };
  for (const char* const length : lengths) {
    const Socket socket(fixture.Address(0), CallFixture::kCallPort);
    socket.Send(std::string("POST /s HTTP/1.1\r\nHost: h\r\n") + length +
                "\r\n0\r\n\r\n");
    const HttpReply reply = socket.Receive(Milliseconds(1000));
    cr_expect_eq(reply.status, 400, "%s: %d", length, reply.status);
    ExpectEqual(reply.Header("connection"), "close", length);
  }
  cr_expect_eq(target.requests(), 0);
}

// Guards against a node without a table that responds with 404 (no such
// service), after which the caller would not retry.
Test(call_task, calls_before_the_first_table_are_refused_with_retry_after) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent));
  fixture.task(0)->PostRoutes(std::make_shared<RouteSnapshot>());
  HttpReply reply;
  for (int i = 0; i < 100 && reply.status != 503; ++i) {
    reply = fixture.Call("1", 200);
  }
  cr_expect_eq(reply.status, 503, "%d", reply.status);
  ExpectEqual(reply.Header("x-outcome"), "not-run");
  cr_expect(!reply.Header("retry-after").empty());
}

// Guards against spans that are lost or have the wrong parent.
Test(call_task, sampled_call_leaves_a_span_per_hop) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent));
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        RespondWithRequestId);
  const std::string trace = "0af7651916cd43dd8448eb211c80319c";
  fixture.Call("1", 1000,
               "traceparent: 00-" + trace + "-b7ad6b7169203331-01\r\n");
  const std::vector<Span> entry_spans = fixture.tracer(0)->Find(trace);
  const std::vector<Span> target_spans = fixture.tracer(1)->Find(trace);
  cr_assert_eq(entry_spans.size(), 2);
  cr_assert_eq(target_spans.size(), 1);
  ExpectEqual(entry_spans[0].name, "attempt");
  ExpectEqual(entry_spans[0].target, "n1");
  ExpectEqual(entry_spans[1].name, "entry");
  ExpectEqual(entry_spans[1].parent_id, "b7ad6b7169203331");
  ExpectEqual(target_spans[0].name, "target");
  cr_expect(entry_spans[0].parent_id == entry_spans[1].span_id);
  cr_expect(target_spans[0].parent_id == entry_spans[0].span_id);
}

// Guards against large bodies that are truncated, and against bodies above the
// limit that are forwarded.
Test(call_task, bodies_pass_whole_up_to_the_limit) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent));
  ScriptedTarget target(
      fixture.Address(1), CallFixture::kTargetPort,
      [](int fd, const std::string& head, int /*n*/) {
        const HttpReply request{0, head, "", Milliseconds(0)};
        const size_t size = std::stoul(request.Header("content-length"));
        return ScriptedTarget::Respond(fd, std::string(size, 'y'));
      });
  for (const size_t size :
       {size_t{1}, size_t{100'000}, size_t{4} << 20, (size_t{4} << 20) + 1}) {
    const Socket socket(fixture.Address(0), CallFixture::kCallPort);
    socket.Send(
        fmt::format("POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: "
                    "{}\r\n\r\n{}",
                    size, std::string(size, 'y')));
    const HttpReply reply = socket.Receive(Milliseconds(5000));
    if (size <= size_t{4} << 20) {
      cr_expect(reply.body == std::string(size, 'y'), "%zu: %d %zu", size,
                reply.status, reply.body.size());
    } else {
      cr_expect_eq(reply.status, 413);
      ExpectEqual(reply.Header("x-reason"), "too_large");
    }
  }
}

// Guards against responses that are lost or out of order if a caller sends the
// next request before it receives the response.
Test(call_task, pipelined_responses_are_sent_in_order) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent));
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        [](int fd, const std::string& head, int n) {
                          std::this_thread::sleep_for(Milliseconds(20));
                          return RespondWithRequestId(fd, head, n);
                        });
  const Socket socket(fixture.Address(0), CallFixture::kCallPort);
  socket.Send(CallFixture::Request("first", 1000) +
              CallFixture::Request("second", 1000));
  ExpectEqual(socket.Receive(Milliseconds(1000)).body, "first");
  ExpectEqual(socket.Receive(Milliseconds(1000)).body, "second");
}

// Guards against metrics that miss calls or outcomes.
Test(call_task, metrics_count_calls_by_service_outcome_and_reason) {
  CallFixture fixture(1, Row(ServiceKind::kOneTime));
  {
    ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                          RespondWithRequestId);
    fixture.Call("1", 1000);
  }
  fixture.Call("2", 1000);
  const std::string text = fixture.metrics(0)->RenderText();
  for (const char* line :
       {"dragonflytack_calls_total{outcome=\"done\",service=\"s\"} 1\n",
        "dragonflytack_calls_total{outcome=\"not-run\",service=\"s\"} 1\n",
        "dragonflytack_call_seconds_count{service=\"s\"} 2\n",
        "dragonflytack_call_added_seconds_count{service=\"s\"} 1\n",
        "dragonflytack_refused_total{reason=\"unreachable\",side=\"entry\"} "
        "1\n"}) {
    cr_expect(text.find(line) != std::string::npos, "%s in\n%s", line,
              text.c_str());
  }
  cr_expect(fixture.metrics(1)->RenderText().find(
                "dragonflytack_slots_in_use 0\n") != std::string::npos);
}

// Guards against a length of 0 in responses to HEAD, which have no body.
Test(call_task, head_response_keeps_the_length_of_the_body) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent));
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        [](int fd, const std::string& /*head*/, int /*n*/) {
                          const std::string text =
                              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
                          send(fd, text.data(), text.size(), MSG_NOSIGNAL);
                          return true;
                        });
  const Socket socket(fixture.Address(0), CallFixture::kCallPort);
  socket.Send("HEAD /s HTTP/1.1\r\nHost: h\r\n\r\n");
  const HttpReply reply = socket.Receive(Milliseconds(300));
  cr_expect(reply.head.starts_with("HTTP/1.1 200"));
  ExpectEqual(reply.Header("content-length"), "5");
  ExpectEqual(reply.body, "");
}

// Guards against load reports that do not reach the entry node, in both forms:
// of two targets, the one that reports full load must receive fewer calls.
Test(call_task, load_reports_reach_the_entry_node) {
  const std::pair<const char*, const char*> reports[] = {
      {"1.00", "0.00"}, {"8,3,8,100", "0,0,8,100"}};
  const auto response = [](const char* load) {
    return [load](int fd, const std::string& /*head*/, int /*n*/) {
      std::this_thread::sleep_for(Milliseconds(5));
      const std::string text = fmt::format(
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nx-load: {}\r\n\r\n", load);
      send(fd, text.data(), text.size(), MSG_NOSIGNAL);
      return true;
    };
  };
  for (const auto& [full_load, idle_load] : reports) {
    CallFixture fixture(2, Row(ServiceKind::kIdempotent));
    ScriptedTarget full(fixture.Address(1), CallFixture::kTargetPort,
                        response(full_load));
    ScriptedTarget idle(fixture.Address(2), CallFixture::kTargetPort,
                        response(idle_load));
    for (int i = 0; i < 100; ++i) {
      cr_assert_eq(fixture.Call("1", 1000).status, 200);
    }
    // Of 100 calls, 25 choose between the full target and itself; it receives
    // few others.
    cr_expect(full.requests() > 5 && full.requests() < idle.requests() * 3 / 4,
              "%s: %d %d", full_load, full.requests(), idle.requests());
  }
}

}  // namespace dragonflytack
