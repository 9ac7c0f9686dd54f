// Responses that a handler sends after its return.

#include "daemon/admin_server.h"

#include <sys/socket.h>

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "call_fixture.h"
#include "daemon/admin_handler.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/mailbox.h"
#include "dragonflytack/base/system_clock.h"

namespace dragonflytack {

namespace {

constexpr uint16_t kPort = 7302;
constexpr Milliseconds kLimit{5'000};
constexpr char kRequest[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

// Keeps the requests until their responses are sent.
class WaitingHandler final : public AdminHandler {
 public:
  void Handle(const AdminRequest& request,
              AdminRespond respond) const override {
    waiting_.emplace_back(request.path, std::move(respond));
  }
  // Responds to all requests, the last one first.
  void RespondToAll() const {
    while (!waiting_.empty()) {
      const auto [path, respond] = std::move(waiting_.back());
      waiting_.pop_back();
      respond({200, "text/plain", path});
    }
  }
  size_t size() const { return waiting_.size(); }

 private:
  mutable std::vector<std::pair<std::string, AdminRespond>> waiting_;
};

// A server on an event loop of its own.
class Fixture final {
 public:
  Fixture()
      : loop_(EventLoop::Make(&clock_)),
        mailbox_(loop_.get(),
                 [](const std::function<void()>& message) { message(); }) {
    Failure reason;
    server_ = AdminServer::Make(loop_.get(), {LoopbackAddress(0), kPort},
                                &handler_, &reason);
    cr_assert(server_ != nullptr, "%s", reason.ToString().c_str());
    thread_ = std::thread([this] { loop_->Run(); });
  }
  ~Fixture() {
    loop_->Stop();
    thread_.join();
    server_.reset();
    // The requests have ended with the server.
    handler_.RespondToAll();
  }

  template <typename Function>
  void OnLoop(const Function& function) {
    std::promise<void> done;
    mailbox_.Post([&] {
      function();
      done.set_value();
    });
    done.get_future().wait();
  }
  void AwaitRequests(size_t count) {
    const TimePoint end = clock_.Now() + kLimit;
    size_t size = 0;
    while (size < count) {
      cr_assert(clock_.Now() < end, "%zu requests", size);
      std::this_thread::sleep_for(Milliseconds(5));
      OnLoop([&] { size = handler_.size(); });
    }
  }
  void RespondToAll() {
    OnLoop([this] { handler_.RespondToAll(); });
  }

 private:
  SystemClock clock_;
  std::unique_ptr<EventLoop> loop_;
  Mailbox<std::function<void()>> mailbox_;
  WaitingHandler handler_;
  std::unique_ptr<AdminServer> server_;
  std::thread thread_;
};

}  // namespace

// Guards against a response that reaches another request, and against one that
// holds up the others.
Test(admin_server, late_responses_reach_their_requests) {
  Fixture fixture;
  Socket first(LoopbackAddress(0), kPort);
  Socket second(LoopbackAddress(0), kPort);
  first.Send(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  second.Send("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.AwaitRequests(2);
  fixture.RespondToAll();
  cr_expect_eq(first.ReceiveNext(kLimit).body, "/1");
  cr_expect_eq(second.ReceiveNext(kLimit).body, "/3");
  fixture.AwaitRequests(1);
  fixture.RespondToAll();
  cr_expect_eq(first.ReceiveNext(kLimit).body, "/2");
}

// Guards against a response to a request whose connection has ended, which was
// freed with it.
Test(admin_server, response_after_the_end_of_its_connection_is_dropped) {
  Fixture fixture;
  for (const bool is_reset : {false, true}) {
    for (int i = 0; i < 20; ++i) {
      Socket caller(LoopbackAddress(0), kPort);
      caller.Send(kRequest);
      fixture.AwaitRequests(1);
      if (is_reset) {
        ResetConnection(caller.fd());
      } else {
        shutdown(caller.fd(), SHUT_RDWR);
      }
      std::this_thread::sleep_for(Milliseconds(5));
      fixture.RespondToAll();
    }
  }
  Socket caller(LoopbackAddress(0), kPort);
  caller.Send(kRequest);
  fixture.AwaitRequests(1);
  fixture.RespondToAll();
  cr_expect_eq(caller.ReceiveNext(kLimit).status, 200);
}

// Guards against a response to a request of a server that has ended.
Test(admin_server, end_of_the_server_drops_late_responses) {
  for (int i = 0; i < 3; ++i) {
    Fixture fixture;
    Socket connected(LoopbackAddress(0), kPort);
    Socket closed(LoopbackAddress(0), kPort);
    connected.Send(kRequest);
    closed.Send(kRequest);
    fixture.AwaitRequests(2);
    ResetConnection(closed.fd());
    std::this_thread::sleep_for(Milliseconds(20));
  }
}

}  // namespace dragonflytack
