// The largest number of connections of a port, when none of them is idle.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <criterion/criterion.h>
#include <event2/buffer.h>
#include <event2/http.h>

#include "base/input_guard.h"
#include "call_fixture.h"
#include "calls/http_server.h"
#include "dragonflytack/base/event_loop.h"

namespace dragonflytack {

namespace {

constexpr uint16_t kPort = 7302;
constexpr size_t kMaxConnections = 20;
// Connections that may be open until dropped ones are closed.
constexpr size_t kSurplus = 16;
constexpr int kCallers = 100;
constexpr Milliseconds kPatience{10'000};
const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

std::string Repeat(const std::string& text, int count) {
  std::string result;
  for (int i = 0; i < count; ++i) {
    result += text;
  }
  return result;
}

void Reply(evhttp_request* request, const std::string& text) {
  evbuffer* const body = evbuffer_new();
  evbuffer_add(body, text.data(), text.size());
  evhttp_send_reply(request, 200, nullptr, body);
  evbuffer_free(body);
}

// A server with a guard on an event loop of its own.
class LimitedServer final {
 public:
  using Handler = std::function<void(EventLoop*, evhttp_request*)>;

  explicit LimitedServer(const Handler& handler)
      : loop_(EventLoop::Make(&clock_)) {
    InputGuard::Options options;
    options.max_connections = kMaxConnections;
    options.max_head_bytes = 64 << 10;
    options.refusal_headers = "x-not-run: 1\r\n";
    auto guard = std::make_unique<InputGuard>(
        loop_.get(), &ledger_, options, [](const InputGuard::Dropped&) {});
    loop_->timers().SubscribeEvery(
        Milliseconds(1), [this, counted = guard.get()] {
          peak_ = std::max(peak_.load(), counted->connections());
        });
    Failure reason;
    server_ = HttpServer::Make(
        loop_->base(), {LoopbackAddress(0), kPort},
        [this, handler](evhttp_request* request) {
          handler(loop_.get(), request);
        },
        &reason, std::move(guard));
    cr_assert(server_ != nullptr, "%s", reason.ToString().c_str());
    thread_ = std::thread([this] { loop_->Run(); });
  }
  ~LimitedServer() {
    loop_->Stop();
    thread_.join();
    server_.reset();
  }

  // The largest number of connections so far.
  size_t peak() const { return peak_; }

 private:
  SystemClock clock_;
  std::unique_ptr<EventLoop> loop_;
  BufferBudget budget_{256 << 20};
  InputLedger ledger_{&budget_, {}};
  std::unique_ptr<HttpServer> server_;
  std::atomic<size_t> peak_ = 0;
  std::thread thread_;
};

// Connections that each send the same text and read nothing.
class Crowd final {
 public:
  explicit Crowd(const std::string& text) {
    for (int i = 0; i < kCallers; ++i) {
      const Socket& socket = sockets_.emplace_back(LoopbackAddress(0), kPort);
      const int size = 4096;
      setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
      send(socket.fd(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      // Long enough for the server to begin with the request.
      std::this_thread::sleep_for(Milliseconds(2));
    }
  }

 private:
  std::deque<Socket> sockets_;
};

HttpReply CallOnce() {
  const Socket caller(LoopbackAddress(0), kPort);
  caller.Send(kGet);
  return caller.Receive(kPatience);
}

// Calls until a call is served. Fails the test if one is not answered.
void ExpectServed() {
  const TimePoint end = std::chrono::steady_clock::now() + kPatience;
  int status = 0;
  while (status != 200 && std::chrono::steady_clock::now() < end) {
    status = CallOnce().status;
    cr_assert(status == 200 || status == 503, "%d", status);
  }
  cr_expect_eq(status, 200);
}

}  // namespace

// Guards against connections beyond the limit, up to the descriptors of the
// process, because callers do not read their responses.
Test(connection_limit, holds_if_responses_are_not_read, .timeout = 60) {
  LimitedServer server([](EventLoop*, evhttp_request* request) {
    Reply(request, std::string(200'000, 'b'));
  });
  const Crowd crowd(Repeat(kGet, 40));
  ExpectServed();
  cr_expect_leq(server.peak(), kMaxConnections + kSurplus, "%zu",
                server.peak());
}

// Guards against a caller that waits without an answer for a connection while
// all of them are in use by requests that run.
Test(connection_limit, refuses_callers_if_all_are_in_use, .timeout = 60) {
  LimitedServer server([](EventLoop* loop, evhttp_request* request) {
    loop->timers().SubscribeOnce(kPatience * 2,
                                 [request] { Reply(request, "late"); });
  });
  const Crowd crowd(kGet);
  const TimePoint start = std::chrono::steady_clock::now();
  const HttpReply reply = CallOnce();
  cr_expect_eq(reply.status, 503, "%d", reply.status);
  ExpectEqual(reply.Header("x-not-run"), "1", "refusal");
  cr_expect(std::chrono::steady_clock::now() - start < kPatience / 2);
  cr_expect_leq(server.peak(), kMaxConnections + kSurplus, "%zu",
                server.peak());
}

// Guards against kept connections that are never idle and keep all other
// callers away.
Test(connection_limit, is_shared_with_busy_connections, .timeout = 60) {
  LimitedServer server([](EventLoop* loop, evhttp_request* request) {
    loop->timers().SubscribeOnce(Milliseconds(2),
                                 [request] { Reply(request, "ok"); });
  });
  const Crowd crowd(Repeat(kGet, 20'000));
  ExpectServed();
  cr_expect_leq(server.peak(), kMaxConnections + kSurplus, "%zu",
                server.peak());
}

}  // namespace dragonflytack
