// How the requests of callers name their service.

#include "dragonflytack/calls/call_task.h"

#include <sys/socket.h>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <criterion/criterion.h>

#include "call_fixture.h"
#include "platform/platform_header_codec.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kLimit{2'000};

// Script of a target of the platform, which names the path that it ran.
bool RespondWithPath(int fd, const std::string& head, int /*n*/) {
  const std::string path = head.substr(0, head.find(" HTTP"));
  const std::string text =
      "HTTP/1.1 200 OK\r\nAttempt-Id: c1\r\nUpstream-Signature: s\r\n"
      "Content-Length: " +
      std::to_string(path.size()) + "\r\n\r\n" + path;
  return send(fd, text.data(), text.size(), MSG_NOSIGNAL) > 0;
}

// Returns routes with one route of the host "h" to the service "s".
Table::Routes OneRoute(const std::string& prefix) {
  RouteRow route;
  route.name = "r";
  route.host = "h";
  route.prefix = prefix;
  route.shares = {{"s", 1}};
  return {{"r", route}};
}

HttpReply Send(const CallFixture& fixture,
               const std::string& path,
               const std::string& headers) {
  const Socket socket(fixture.Address(0), CallFixture::kCallPort);
  socket.Send("POST " + path + " HTTP/1.1\r\n" + headers +
              "Attempt-Id: c1\r\nContent-Length: 0\r\n\r\n");
  return socket.Receive(kLimit);
}

}  // namespace

// Guards against a table without routes that makes the call port speak another
// interface: requests on the dropped route ran at the service that their path
// happened to name, with another path.
Test(call_addressing, removal_of_the_last_route_leaves_no_route) {
  const ServiceRow row = Row(ServiceKind::kOneTime);
  CallFixture fixture(1, row, std::make_shared<platform::PlatformHeaderCodec>(),
                      Settings().drain_timeout_ms,
                      CallFixture::Addressing::kRoutes);
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        RespondWithPath);
  const Table::Routes routes = OneRoute("/s/");
  const auto wait_for = [&](int status) {
    HttpReply reply;
    for (int i = 0; i < 100 && reply.status != status; ++i) {
      std::this_thread::sleep_for(Milliseconds(10));
      reply = Send(fixture, "/s/x", "Host: h\r\n");
    }
    return reply;
  };
  fixture.Publish(row, routes);
  ExpectEqual(wait_for(200).body, "POST /s/x");
  fixture.Publish(row, {});
  const HttpReply dropped = wait_for(404);
  cr_expect_eq(dropped.status, 404, "%d", dropped.status);
  const int requests = target.requests();
  for (const char* headers :
       {"Host: h\r\n", "Host: other\r\n", "Host: h\r\nx-service: s\r\n"}) {
    for (const char* path : {"/s/x", "/s", "/s?a", "/"}) {
      const HttpReply reply = Send(fixture, path, headers);
      cr_expect_eq(reply.status, 404, "%s %s: %d", path, headers, reply.status);
    }
  }
  cr_expect_eq(target.requests(), requests);
}

// Guards against names of the product's own interface that the node answers or
// reads on an address of the platform, where they belong to callers and
// targets.
Test(call_addressing, own_interface_is_not_served_on_an_address_by_route) {
  const ServiceRow row = Row(ServiceKind::kOneTime);
  CallFixture fixture(1, row, std::make_shared<platform::PlatformHeaderCodec>(),
                      Settings().drain_timeout_ms,
                      CallFixture::Addressing::kRoutes);
  std::mutex mutex;
  std::string last_head;
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        [&](int fd, const std::string& head, int n) {
                          {
                            const std::lock_guard<std::mutex> lock(mutex);
                            last_head = head;
                          }
                          return RespondWithPath(fd, head, n);
                        });
  const Table::Routes routes = OneRoute("/");
  fixture.Publish(row, routes);
  std::this_thread::sleep_for(Milliseconds(50));
  for (const char* path : {"/-/keys", "/-/handover", "/s/x"}) {
    for (const char* key : {"", "k", "a-key-of-the-caller-1"}) {
      std::string headers = "Host: h\r\n";
      if (*key != '\0') {
        headers += "Idempotency-Key: " + std::string(key) + "\r\n";
      }
      const HttpReply reply = Send(fixture, path, headers);
      cr_expect_eq(reply.status, 200, "%s %s: %d", path, key, reply.status);
      ExpectEqual(reply.body, "POST " + std::string(path));
      const std::lock_guard<std::mutex> lock(mutex);
      ExpectEqual(HttpReply{0, last_head, "", Milliseconds(0)}.Header(
                      "idempotency-key"),
                  key, path);
    }
  }
}

// Guards against routes of the table that take the calls of an address on which
// the path names the service.
Test(call_addressing, routes_do_not_change_an_address_by_service) {
  const ServiceRow row = Row(ServiceKind::kIdempotent);
  CallFixture fixture(1, row);
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        RespondWithRequestId);
  const Table::Routes routes = OneRoute("/a/");
  fixture.Publish(row, routes);
  std::this_thread::sleep_for(Milliseconds(20));
  ExpectEqual(fixture.Call("1", 1000).body, "1");
}

}  // namespace dragonflytack
