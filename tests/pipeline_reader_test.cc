#include "calls/pipeline_reader.h"

#include <string>
#include <string_view>
#include <vector>

#include <criterion/criterion.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fmt/format.h>

#include "call_fixture.h"
#include "calls/owned_request.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/system_clock.h"
#include "fuzz/entry_point.h"
#include "mutation.h"

namespace dragonflytack {

namespace {

const char kGet[] = "GET /s/x HTTP/1.1\r\nHost: h\r\n\r\n";

std::string Get(const std::string& headers) {
  return "GET /s/x HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

// Returns how many requests are started early if a reader gets the input.
size_t CountTaken(const std::string& input, size_t max_requests = 8) {
  PipelineReader reader(max_requests);
  size_t count = 0;
  while (reader.Next(std::string_view(input).substr(reader.taken_bytes())) !=
         nullptr) {
    ++count;
  }
  return count;
}

// An evhttp server that responds to each request at once.
class Server {
 public:
  explicit Server(EventLoop* loop)
      : loop_(loop), http_(evhttp_new(loop->base())) {
    cr_assert_eq(evhttp_bind_socket(http_, LoopbackAddress(0).c_str(), 7001),
                 0);
    evhttp_set_allowed_methods(
        http_, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_OPTIONS);
    evhttp_set_gencb(
        http_,
        [](evhttp_request* request, void* self) {
          static_cast<Server*>(self)->heads_.push_back(ReadHead(request));
          evhttp_send_reply(request, HTTP_OK, nullptr, nullptr);
        },
        this);
  }
  ~Server() { evhttp_free(http_); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::vector<RequestHead> Parse(const std::string& input, size_t count) {
    heads_.clear();
    const Socket socket(LoopbackAddress(0), 7001);
    SendAndAwaitArrival(socket.fd(), input);
    constexpr int kRounds = 200;
    for (int i = 0; i < kRounds && heads_.size() < count; ++i) {
      event_base_loop(loop_->base(), EVLOOP_NONBLOCK);
    }
    return heads_;
  }

 private:
  EventLoop* const loop_;
  evhttp* const http_;
  std::vector<RequestHead> heads_;
};

}  // namespace

// Guards against requests that are started although they have to wait: those
// that are not safe, have a body or a one-time key, that two parsers could read
// differently, or that are over the limit.
Test(pipeline_reader, only_plain_safe_requests_are_taken) {
  cr_expect_eq(CountTaken(Get("")), 1);
  cr_expect_eq(CountTaken(Get("connection:  Keep-Alive \r\nx: \r\n")), 1);
  cr_expect_eq(CountTaken(""), 0);
  cr_expect_eq(CountTaken(std::string(kGet, sizeof(kGet) - 2)), 0);
  const std::string waiting[] = {
      "POST /s/x HTTP/1.1\r\nHost: h\r\n\r\n",
      "DELETE /s/x HTTP/1.1\r\nHost: h\r\n\r\n",
      "get /s/x HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /s/x HTTP/1.0\r\nHost: h\r\n\r\n",
      "GET /s/x  HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET s/x HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET //s/x HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET http://h/s/x HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /s/%2 HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /s/x#f HTTP/1.1\r\nHost: h\r\n\r\n",
      "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /s/x HTTP/1.1\r\n\r\n",
      "\r\n" + Get(""),
      "GET /s/x HTTP/1.1\nHost: h\n\n",
      Get("Host: h\r\n"),
      Get("Content-Length: 0\r\n"),
      Get("transfer-encoding: chunked\r\n"),
      Get("Expect: 100-continue\r\n"),
      Get("Upgrade: h2c\r\n"),
      Get("idempotency-key: k\r\n"),
      Get("Connection: close, x\r\n"),
      Get("Connection: close\r\nConnection: keep-alive\r\n"),
      Get("x : 1\r\n"),
      Get(" x: 1\r\n"),
      Get("x: 1\r\n 2\r\n"),
      Get("x: 1\n"),
      Get("x: \t1\r\n"),
      Get(std::string("x: \0\r\n", 6)),
      Get("x\r\n"),
      Get("x: " + std::string(RequestHead::kMaxBytes, '1') + "\r\n"),
  };
  for (const std::string& input : waiting) {
    cr_expect_eq(CountTaken(input), 0, "%s", input.c_str());
    cr_expect_eq(CountTaken(kGet + input + kGet), 1, "%s", input.c_str());
  }
}

// Guards against more requests at once than the setting allows, and against
// requests that are started behind one that closes the connection.
Test(pipeline_reader, the_limit_and_a_closing_request_end_the_reading) {
  const std::string gets = fmt::format("{0}{0}{0}{0}", kGet);
  cr_expect_eq(CountTaken(gets, 1), 0);
  cr_expect_eq(CountTaken(gets, 3), 2);
  cr_expect_eq(CountTaken(gets, 8), 4);
  cr_expect_eq(CountTaken(kGet + Get("Connection: close\r\n") + kGet), 2);
}

// Guards against the result of an early call for another request than its own.
Test(pipeline_reader, another_request_is_not_accepted) {
  const std::string second = Get("x: 2\r\n");
  const std::string input = kGet + second;
  RequestHead first_head;
  RequestHead second_head;
  size_t size = 0;
  RequestHead::Read(kGet, &first_head, &size);
  RequestHead::Read(second, &second_head, &size);
  const auto deliver = [&](const RequestHead& head,
                           const std::string& following) {
    PipelineReader reader(8);
    cr_assert_not_null(reader.Next(input));
    cr_assert_not_null(
        reader.Next(std::string_view(input).substr(reader.taken_bytes())));
    return reader.Deliver(head, following);
  };
  cr_expect(deliver(first_head, second));
  cr_expect(deliver(first_head, second + "more"));
  cr_expect_not(deliver(second_head, second));
  cr_expect_not(deliver(first_head, Get("x: 3\r\n")));
  cr_expect_not(deliver(first_head, second.substr(1)));
  cr_expect_not(deliver(first_head, ""));
  RequestHead changed = first_head;
  changed.method = "HEAD";
  cr_expect_not(deliver(changed, second));
  changed = first_head;
  changed.headers.emplace_back("x-api-key", "other");
  cr_expect_not(deliver(changed, second));
}

// Guards against requests that are not started although nothing speaks against
// them any more, and against those that are started after a refused one.
Test(pipeline_reader, a_head_that_is_put_back_is_taken_again_unless_it_waits) {
  const std::string input = fmt::format("{0}{0}", kGet);
  PipelineReader reader(8);
  cr_assert_not_null(reader.Next(input));
  reader.PutBack(/*must_wait=*/false);
  cr_expect_eq(reader.taken_bytes(), 0);
  cr_assert_not_null(reader.Next(input));
  reader.PutBack(/*must_wait=*/true);
  cr_expect_null(reader.Next(input));
}

// Guards against a head that evhttp parses in another way or refuses: an early
// call would be made for nothing, or behind a closing response. 2,000 seeds.
Test(pipeline_reader, evhttp_delivers_what_is_taken, .timeout = 120) {
  const SystemClock clock;
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  Server server(loop.get());
  const std::vector<std::string> corpus =
      FindEntryPoint("pipelined_requests")->seeds();
  constexpr uint64_t kSeeds = 2'000;
  size_t compared = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::string input = Mutator(seed).Mutate(corpus);
    PipelineReader reader(8);
    std::vector<RequestHead> heads;
    while (const RequestHead* head = reader.Next(
               std::string_view(input).substr(reader.taken_bytes()))) {
      heads.push_back(*head);
    }
    if (heads.empty()) {
      continue;
    }
    const std::vector<RequestHead> parsed =
        server.Parse(input.substr(0, reader.taken_bytes()), heads.size());
    cr_expect(parsed == heads, "seed %zu: %zu of %zu requests, %s",
              static_cast<size_t>(seed), parsed.size(), heads.size(),
              input.c_str());
    compared += heads.size();
  }
  cr_expect_gt(compared, kSeeds / 4, "%zu", compared);
}

}  // namespace dragonflytack
