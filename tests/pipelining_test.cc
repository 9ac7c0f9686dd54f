// Requests that callers send before earlier ones on the connection are
// answered, at a node on loopback.

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "dragonflytack/base/random.h"
#include "pipelining_fixture.h"

namespace dragonflytack {

// Guards against requests that wait for the one before them, more at once than
// the setting allows, responses out of order, and a caller that never gets the
// rest.
Test(pipelining, requests_run_at_once_and_are_answered_in_order) {
  const auto fixture = MakeNodes();
  HoldingTarget target(fixture->Address(1));
  Socket caller(fixture->Address(0), CallFixture::kCallPort);
  caller.Send(Gets(0, 2));
  target.ExpectArrived(3);
  caller.Send(Gets(3, 11));
  target.ExpectArrived(kMaxPipelined);
  for (int id = 11; id >= 1; --id) {
    target.Release(std::to_string(id));
  }
  target.ExpectArrived(kMaxPipelined);
  target.Release("0");
  for (int id = 0; id <= 11; ++id) {
    ExpectBody(&caller, std::to_string(id));
  }
  cr_expect_eq(Events(fixture.get(), "answered"), 11);
  cr_expect_eq(Events(fixture.get(), "mismatched"), 0);
  ExpectSoon([&] {
    return Metric(fixture.get(),
                  "dragonflytack_calls_in_progress{side=\"entry\"}") == 0;
  });
}

// Guards against pipelining without the setting, and of calls that may run only
// once.
Test(pipelining, without_the_setting_or_for_one_time_calls_each_waits) {
  for (const bool one_time : {false, true}) {
    const auto fixture =
        MakeNodes(one_time ? ServiceKind::kOneTime : ServiceKind::kIdempotent,
                  one_time ? kMaxPipelined : Settings().max_pipelined);
    HoldingTarget target(fixture->Address(1));
    Socket caller(fixture->Address(0), CallFixture::kCallPort);
    caller.Send(Gets(0, 2));
    target.ExpectArrived(1);
    target.ReleaseAll();
    for (int id = 0; id <= 2; ++id) {
      ExpectBody(&caller, std::to_string(id));
    }
    cr_expect_eq(Events(fixture.get(), "started"), 0);
  }
}

// Guards against a request with a body that runs before the ones before it are
// answered, and against later ones that run before it is.
Test(pipelining, an_unsafe_request_waits_and_holds_back_the_next) {
  const auto fixture = MakeNodes();
  HoldingTarget target(fixture->Address(1));
  Socket caller(fixture->Address(0), CallFixture::kCallPort);
  caller.Send(Gets(0, 1) +
              "POST /s/x HTTP/1.1\r\nHost: h\r\nx-request-id: 2\r\n"
              "Content-Length: 3\r\n\r\nabc" +
              Gets(3, 4));
  target.ExpectArrived(2);
  target.Release("1");
  target.ExpectArrived(2);
  target.Release("0");
  ExpectBody(&caller, "0");
  ExpectBody(&caller, "1");
  target.ExpectArrived(3);
  target.Release("2");
  ExpectBody(&caller, "2");
  target.ExpectArrived(5);
  target.ReleaseAll();
  ExpectBody(&caller, "3");
  ExpectBody(&caller, "4");
}

// Guards against requests that are forwarded behind a response that closes the
// connection: by the caller, or by a refusal of the node.
Test(pipelining, nothing_is_forwarded_behind_a_closing_response) {
  const auto fixture = MakeNodes();
  HoldingTarget target(fixture->Address(1));
  const std::string closing[] = {
      Get("1", "Connection: close\r\n"),
      "GET /s/x HTTP/1.1\r\nHost: h\r\nx-deadline-ms: x\r\n\r\n",
      "GET /s/x HTTP/1.0\r\nHost: h\r\nx-request-id: 1\r\n\r\n"};
  size_t arrived = 0;
  for (const std::string& request : closing) {
    target.HoldAgain();
    Socket caller(fixture->Address(0), CallFixture::kCallPort);
    caller.Send(Get("0") + request + Gets(2, 3));
    arrived += request == closing[0] ? 2 : 1;
    target.ExpectArrived(arrived);
    target.ReleaseAll();
    ExpectBody(&caller, "0");
    const HttpReply last = caller.ReceiveNext(kPatience);
    cr_expect_eq(last.status, request == closing[1] ? 400 : 200);
    cr_expect_eq(caller.ReceiveNext(kPatience).status, 0);
    arrived += request == closing[2] ? 1 : 0;
  }
  target.ExpectArrived(arrived);
}

// Guards against checks that early calls escape, and refusals out of order.
Test(pipelining, refusals_are_sent_in_order) {
  const auto fixture = MakeNodes();
  HoldingTarget target(fixture->Address(1));
  Socket caller(fixture->Address(0), CallFixture::kCallPort);
  caller.Send(Get("0") + "GET /unknown/x HTTP/1.1\r\nHost: h\r\n\r\n" +
              Get("1"));
  target.ExpectArrived(1);
  target.ReleaseAll();
  ExpectBody(&caller, "0");
  cr_expect_eq(caller.ReceiveNext(kPatience).status, 404);
  ExpectBody(&caller, "1");
}

// Guards against an early call that runs without a valid API key, or with that
// of the request before it.
Test(pipelining, each_call_needs_its_own_key) {
  const auto fixture = MakeNodes();
  HoldingTarget target(fixture->Address(1));
  AccountRow account;
  account.account = "a";
  account.keys = {*KeyDigest::OfKey("secret")};
  fixture->Publish(Row(ServiceKind::kIdempotent), {}, false,
                   {{account.account, account}});
  const std::string valid = "x-api-key: secret\r\n";
  ExpectSoon([&] {
    Socket probe(fixture->Address(0), CallFixture::kCallPort);
    probe.Send("GET /s/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return probe.ReceiveNext(kPatience).status == 401;
  });
  Socket caller(fixture->Address(0), CallFixture::kCallPort);
  caller.Send(Get("0", valid) + Get("1", valid) + Get("2") + Get("3", valid));
  target.ExpectArrived(2);
  target.ReleaseAll();
  ExpectBody(&caller, "0");
  ExpectBody(&caller, "1");
  cr_expect_eq(caller.ReceiveNext(kPatience).status, 401);
  ExpectBody(&caller, "3");
}

// Guards against a one-time call that is started early behind an idempotent
// one.
Test(pipelining, a_one_time_call_waits_and_holds_back_the_next) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent), nullptr,
                      Settings().drain_timeout_ms,
                      CallFixture::Addressing::kRoutes,
                      Settings().max_buffered_mb, kMaxPipelined);
  HoldingTarget target(fixture.Address(1));
  RouteRow often;
  often.name = "often";
  often.host = "h";
  often.prefix = "/s/";
  often.timeout_ms = 8'000;
  often.kind = ServiceKind::kIdempotent;
  often.shares = {{"s", 1}};
  RouteRow once = often;
  once.name = "once";
  once.prefix = "/once/";
  once.kind = ServiceKind::kOneTime;
  fixture.Publish(Row(ServiceKind::kIdempotent),
                  {{often.name, often}, {once.name, once}});
  ExpectSoon([&] {
    Socket probe(fixture.Address(0), CallFixture::kCallPort);
    probe.Send("GET /other HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return probe.ReceiveNext(kPatience).status == 404;
  });
  Socket caller(fixture.Address(0), CallFixture::kCallPort);
  caller.Send(Gets(0, 1) +
              "GET /once/x HTTP/1.1\r\nHost: h\r\nx-request-id: 2\r\n\r\n" +
              Get("3"));
  target.ExpectArrived(2);
  target.Release("0");
  target.Release("1");
  target.ExpectArrived(3);
  target.ReleaseAll();
  for (int id = 0; id <= 3; ++id) {
    ExpectBody(&caller, std::to_string(id));
  }
}

// Guards against deadlines that begin when the turn of a call comes.
Test(pipelining, the_deadline_runs_from_the_arrival) {
  const auto fixture = MakeNodes();
  HoldingTarget target(fixture->Address(1));
  Socket caller(fixture->Address(0), CallFixture::kCallPort);
  constexpr int kDeadlineMs = 100;
  caller.Send(Get("0") + CallFixture::Request("1", kDeadlineMs) + Get("2"));
  target.ExpectArrived(3);
  ExpectSoon([&] {
    return Metric(fixture.get(),
                  "dragonflytack_calls_total{outcome=\"unknown\",service="
                  "\"s\"}") == 1;
  });
  target.Release("0");
  target.Release("2");
  ExpectBody(&caller, "0");
  const HttpReply late = caller.ReceiveNext(kPatience);
  cr_expect_eq(late.status, 504);
  ExpectEqual(late.Header("x-reason"), "deadline");
  ExpectBody(&caller, "2");
}

// Guards against responses that wait for their turn outside of the budget: with
// half of it in use, no call is started early, and all are still answered.
Test(pipelining, without_memory_no_request_is_started_early, .timeout = 60) {
  constexpr int kMaxBufferedMb = 8;
  const auto fixture =
      MakeNodes(ServiceKind::kIdempotent, kMaxPipelined, kMaxBufferedMb);
  std::atomic<bool> released = false;
  const std::string body(1'000'000, 'b');
  ScriptedTarget target(fixture->Address(1), CallFixture::kTargetPort,
                        [&](int fd, const std::string& head, int /*n*/) {
                          while (RequestId(head) == "0" && !released) {
                            std::this_thread::sleep_for(Milliseconds(5));
                          }
                          return ScriptedTarget::Respond(fd, body);
                        });
  Socket first(fixture->Address(0), CallFixture::kCallPort);
  first.Send(Gets(0, 5));
  ExpectSoon([&] {
    return Metric(fixture.get(), "dragonflytack_buffered_bytes") >= 5'000'000;
  });
  Socket second(fixture->Address(0), CallFixture::kCallPort);
  second.Send(Gets(0, 1));
  ExpectSoon([&] { return Events(fixture.get(), "no_room") > 0; });
  cr_expect_eq(Events(fixture.get(), "started"), 5);
  released = true;
  for (int id = 0; id <= 5; ++id) {
    ExpectBody(&first, body);
  }
  ExpectBody(&second, body);
  ExpectBody(&second, body);
  ExpectSoon([&] {
    return Metric(fixture.get(), "dragonflytack_buffered_bytes") == 0;
  });
}

// Guards against faults of any mixture: safe and unsafe requests, refused ones
// and heads in pieces, against a target that responds after random times.
Test(pipelining, mixed_sequences_are_answered_in_order, .timeout = 120) {
  const auto fixture = MakeNodes();
  ScriptedTarget target(fixture->Address(1), CallFixture::kTargetPort,
                        [](int fd, const std::string& head, int n) {
                          const HttpReply request{0, head, "", Milliseconds(0)};
                          std::this_thread::sleep_for(Milliseconds(
                              std::stoi(request.Header("x-wait"))));
                          return RespondWithRequestId(fd, head, n);
                        });
  constexpr uint64_t kSeeds = 30;
  constexpr int kRequests = 40;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    Socket caller(fixture->Address(0), CallFixture::kCallPort);
    std::string text;
    std::vector<std::string> expected;
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = fmt::format("{}-{}", seed, i);
      const std::string headers = fmt::format(
          "Host: h\r\nx-request-id: {}\r\nx-wait: {}\r\n", id, random.Below(8));
      const auto kind = random.Below(12);
      if (kind == 0) {
        text += fmt::format(
            "POST /s/x HTTP/1.1\r\n{}Content-Length: 2\r\n\r\nab", headers);
      } else if (kind == 1) {
        text += fmt::format(
            "PUT /s/x HTTP/1.1\r\n{}Transfer-Encoding: chunked\r\n\r\n"
            "2\r\nab\r\n0\r\n\r\n",
            headers);
      } else if (kind == 2) {
        text += fmt::format("GET /none HTTP/1.1\r\n{}\r\n", headers);
      } else if (kind == 3) {
        text += fmt::format("OPTIONS /s/x HTTP/1.1\r\n{}\r\n", headers);
      } else {
        text += fmt::format("GET /s/x HTTP/1.1\r\n{}\r\n", headers);
      }
      expected.push_back(kind == 2 ? "404" : id);
    }
    for (size_t at = 0; at < text.size();) {
      const size_t size = 1 + random.Below(600);
      caller.Send(text.substr(at, size));
      at += size;
      if (random.Below(4) == 0) {
        std::this_thread::sleep_for(Milliseconds(1));
      }
    }
    for (const std::string& body : expected) {
      const HttpReply reply = caller.ReceiveNext(kPatience);
      ExpectEqual(reply.status == 404 ? "404" : reply.body, body);
      cr_assert_neq(reply.status, 0, "seed %d", static_cast<int>(seed));
    }
  }
  cr_expect_gt(Events(fixture.get(), "answered"), kRequests);
  cr_expect_eq(Events(fixture.get(), "mismatched"), 0);
  cr_expect_eq(Events(fixture.get(), "started"),
               Events(fixture.get(), "answered"));
}

}  // namespace dragonflytack
