// Behaviour of evhttp in libevent 2.1.12 that src/calls depends on. If a test
// fails after an update of the library, src/calls must be reviewed.

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "call_fixture.h"
#include "dragonflytack/base/event_loop.h"

namespace dragonflytack {

namespace {

constexpr uint16_t kPort = 7100;

void RunFor(EventLoop* loop, Milliseconds time) {
  loop->timers().SubscribeOnce(time,
                               [loop] { event_base_loopbreak(loop->base()); });
  loop->Run();
}

// Runs the loop until `is_done`, for at most 5 s, which a starved machine may
// need. Returns whether it is done.
bool RunUntil(EventLoop* loop, const std::function<bool()>& is_done) {
  for (int i = 0; i < 500 && !is_done(); ++i) {
    RunFor(loop, Milliseconds(10));
  }
  return is_done();
}

// A bare evhttp client connection.
class Client {
 public:
  explicit Client(EventLoop* loop)
      : loop_(loop),
        connection_(evhttp_connection_base_new(loop->base(),
                                               nullptr,
                                               LoopbackAddress(0).c_str(),
                                               kPort)) {
    evbuffer_add_cb(bufferevent_get_output(bufev()), &OnOutput, this);
  }
  ~Client() { evhttp_connection_free(connection_); }

  // Returns the body of the response, "failed" if the request failed, or
  // "pending" if neither happened in time.
  std::string Get() {
    result_ = "pending";
    evhttp_request* request = evhttp_request_new(&OnResponse, this);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "h");
    evhttp_make_request(connection_, request, EVHTTP_REQ_GET, "/");
    RunUntil(loop_, [this] { return result_ != "pending"; });
    // What follows the response.
    RunFor(loop_, Milliseconds(100));
    return result_;
  }

  // Returns whether evhttp closes the connection in time.
  bool WaitUntilClosed() {
    return RunUntil(loop_, [this] { return bufferevent_getfd(bufev()) < 0; });
  }

  bufferevent* bufev() {
    return evhttp_connection_get_bufferevent(connection_);
  }
  size_t written() const { return written_; }

 private:
  static void OnResponse(evhttp_request* request, void* self) {
    auto* client = static_cast<Client*>(self);
    client->result_ = "failed";
    if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
      evbuffer* body = evhttp_request_get_input_buffer(request);
      client->result_.assign(reinterpret_cast<char*>(evbuffer_pullup(body, -1)),
                             evbuffer_get_length(body));
    }
  }
  static void OnOutput(evbuffer*, const evbuffer_cb_info* info, void* self) {
    static_cast<Client*>(self)->written_ += info->n_deleted;
  }

  EventLoop* const loop_;
  evhttp_connection* const connection_;
  std::string result_;
  size_t written_ = 0;
};

}  // namespace

// At-most-once execution requires that evhttp never resends a request, neither
// on a new connection nor on a reused one that the target closes.
Test(evhttp_contract, client_never_resends_a_request) {
  const SystemClock clock;
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  ScriptedTarget target(
      LoopbackAddress(0), kPort, [](int fd, const std::string&, int n) {
        return n % 2 == 1 && ScriptedTarget::Respond(fd, "ok");
      });
  Client reused(loop.get());
  ExpectEqual(reused.Get(), "ok");
  ExpectEqual(reused.Get(), "failed");
  cr_expect_eq(target.requests(), 2);
  Client fresh(loop.get());
  ExpectEqual(fresh.Get(), "ok");
  cr_expect_eq(target.requests(), 3);
  Client closed(loop.get());
  ExpectEqual(closed.Get(), "failed");
  cr_expect_eq(target.requests(), 4);
}

// The outcome "not-run" after a refused connection requires that no byte is
// written before the connection is established; the output buffer shows this.
Test(evhttp_contract, refused_connection_writes_nothing) {
  const SystemClock clock;
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  Client refused(loop.get());
  ExpectEqual(refused.Get(), "failed");
  cr_expect_eq(refused.written(), 0);
  ScriptedTarget target(LoopbackAddress(0), kPort,
                        [](int, const std::string&, int) { return false; });
  Client closed(loop.get());
  ExpectEqual(closed.Get(), "failed");
  cr_expect_gt(closed.written(), 0);
}

// After the peer closed an idle connection, evhttp itself reconnects for the
// next request. The pool therefore drops such connections instead of reusing
// them.
Test(evhttp_contract, closed_idle_connection_is_reopened) {
  const SystemClock clock;
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  ScriptedTarget target(LoopbackAddress(0), kPort,
                        [](int fd, const std::string&, int) {
                          ScriptedTarget::Respond(fd, "ok");
                          return false;
                        });
  Client client(loop.get());
  ExpectEqual(client.Get(), "ok");
  cr_expect(client.WaitUntilClosed());
  ExpectEqual(client.Get(), "ok");
}

// A second response that arrives on an idle connection must not become the
// response to the next request.
Test(evhttp_contract, unsolicited_bytes_close_an_idle_connection) {
  const SystemClock clock;
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  ScriptedTarget target(LoopbackAddress(0), kPort,
                        [](int fd, const std::string&, int n) {
                          ScriptedTarget::Respond(fd, std::to_string(n));
                          std::this_thread::sleep_for(Milliseconds(20));
                          return ScriptedTarget::Respond(fd, "unasked");
                        });
  Client client(loop.get());
  ExpectEqual(client.Get(), "1");
  cr_expect(client.WaitUntilClosed());
  ExpectEqual(client.Get(), "2");
}

namespace {

struct Server {
  bool keeps_reading = false;
  int closed = 0;
  evhttp_request* request = nullptr;
};

void OnServerRequest(evhttp_request* request, void* argument) {
  auto* server = static_cast<Server*>(argument);
  server->request = request;
  evhttp_connection* connection = evhttp_request_get_connection(request);
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection*, void* self) {
        ++static_cast<Server*>(self)->closed;
      },
      server);
  if (server->keeps_reading) {
    bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
  }
}

}  // namespace

// evhttp does not read while a response is pending, so a disconnect is detected
// only if reading is enabled again. The request then stays with its handler,
// without a connection, until the response is sent.
Test(evhttp_contract, server_detects_a_disconnect_only_while_reading) {
  const SystemClock clock;
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  for (const bool keeps_reading : {false, true}) {
    Server server{keeps_reading};
    evhttp* http = evhttp_new(loop->base());
    evhttp_bind_socket(http, LoopbackAddress(0).c_str(), kPort);
    evhttp_set_gencb(http, &OnServerRequest, &server);
    {
      const Socket caller(LoopbackAddress(0), kPort);
      caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      RunFor(loop.get(), Milliseconds(50));
      cr_assert_not_null(server.request);
      cr_expect_eq(server.closed, 0);
    }
    RunFor(loop.get(), Milliseconds(50));
    cr_expect_eq(server.closed, keeps_reading ? 1 : 0);
    cr_expect_eq(evhttp_request_get_connection(server.request) == nullptr,
                 keeps_reading);
    evhttp_send_reply(server.request, 200, "OK", nullptr);
    evhttp_free(http);
  }
}

}  // namespace dragonflytack
