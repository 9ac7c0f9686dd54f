// Responses whose status is none: from a target, from a node, from the store,
// and in a record that a node hands over.

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "call_fixture.h"
#include "dragonflytack/base/hash.h"
#include "net/cbor.h"
#include "onetime/handover_message.h"
#include "onetime/recorded_response.h"
#include "raw_server.h"
#include "store_standin_fixture.h"

namespace dragonflytack {

namespace {

constexpr int kDeadlineMs = 5000;

// Out of range, with more or fewer digits, signed, and with other characters.
// Some of them are 200 for atoi().
constexpr const char* kNoStatus[] = {
    "000",  "001",   "099",  "600", "999", "1000",       "2000",
    "0200", "00200", "+200", "20",  "2",   "4294967496", "18446744073709551816",
    "-200", "-1",    "200x", "2e2", "x",   "0xc8",       "200\t",
};

std::string Response(uint16_t port, const std::string& status) {
  return fmt::format(
      "HTTP/1.1 {} OK\r\n{}Content-Length: 2\r\n\r\nok", status,
      port == CallFixture::kMeshPort ? "x-outcome: done\r\n" : "");
}

// Sends the response in two segments, the first one of `size` bytes. The caller
// may have its response before this returns, so `response` is a copy.
void SendInTwo(int fd, std::string response, size_t size) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  send(fd, response.data(), size, MSG_NOSIGNAL);
  std::this_thread::sleep_for(Milliseconds(1));
  send(fd, response.data() + size, response.size() - size, MSG_NOSIGNAL);
}

}  // namespace

// Guards against a response with no valid status that reaches the caller of a
// one-time call as a result, as a refusal that promises that it was not run, or
// has it sent again.
Test(response_status,
     that_is_none_makes_a_one_time_call_unknown,
     .timeout = 60) {
  for (const uint16_t port :
       {CallFixture::kTargetPort, CallFixture::kMeshPort}) {
    CallFixture fixture(1, Row(ServiceKind::kOneTime));
    if (port == CallFixture::kMeshPort) {
      fixture.Kill(1);
    }
    std::string response;
    size_t first_bytes = 0;
    ScriptedTarget server(fixture.Address(1), port,
                          [&](int fd, const std::string& /*head*/, int /*n*/) {
                            SendInTwo(fd, response, first_bytes);
                            return true;
                          });
    int requests = 0;
    for (const char* status : kNoStatus) {
      for (const bool interim : {false, true}) {
        response = (interim ? "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n" : "") +
                   Response(port, status);
        for (const size_t size : {response.size(), response.size() / 2}) {
          first_bytes = size;
          const HttpReply reply = fixture.Call("a", kDeadlineMs);
          const std::string name = fmt::format(
              "port {}, status {:?}, interim: {}", port, status, interim);
          ExpectEqual(reply.Header("x-outcome"), "unknown", name);
          cr_expect_eq(reply.status, 504, "%s: %d", name.c_str(), reply.status);
          cr_expect_eq(server.requests(), ++requests, "%s", name.c_str());
        }
      }
    }
  }
}

// Guards against limits that refuse a valid status, or a status line that
// arrives in parts.
Test(response_status, that_is_valid_reaches_the_caller) {
  CallFixture fixture(1, Row(ServiceKind::kOneTime));
  std::string response;
  std::atomic<size_t> first_bytes = 0;
  ScriptedTarget server(fixture.Address(1), CallFixture::kTargetPort,
                        [&](int fd, const std::string& /*head*/, int /*n*/) {
                          SendInTwo(fd, response, first_bytes);
                          return true;
                        });
  for (const int status : {200, 201, 299, 302, 404, 418, 500, 599}) {
    response = Response(CallFixture::kTargetPort, std::to_string(status));
    for (first_bytes = 1; first_bytes < 20; ++first_bytes) {
      const HttpReply reply = fixture.Call("a", kDeadlineMs);
      cr_expect_eq(reply.status, status, "%d: %d", status, reply.status);
    }
  }
  // Without a reason, with a line end of one character, after interim ones.
  for (const char* head :
       {"HTTP/1.1 200\r\n", "HTTP/1.1 200 \n", "HTTP/1.0 200 OK\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100\n\n"
        "HTTP/1.1 200 OK\r\n"}) {
    response = std::string(head) + "Content-Length: 2\r\n\r\nok";
    first_bytes = response.size();
    const HttpReply reply = fixture.Call("a", kDeadlineMs);
    cr_expect(reply.status == 200 && reply.body == "ok", "%s: %d %s", head,
              reply.status, reply.head.c_str());
  }
}

// Guards against an idempotent call that fails, or gets such a response,
// although another target serves it.
Test(response_status, that_is_none_is_retried_at_another_target) {
  CallFixture fixture(2, Row(ServiceKind::kIdempotent));
  std::string status;
  ScriptedTarget faulty(
      fixture.Address(1), CallFixture::kTargetPort,
      [&](int fd, const std::string& /*head*/, int /*n*/) {
        const std::string response = Response(CallFixture::kTargetPort, status);
        send(fd, response.data(), response.size(), MSG_NOSIGNAL);
        return true;
      });
  ScriptedTarget sound(fixture.Address(2), CallFixture::kTargetPort,
                       [](int fd, const std::string& /*head*/, int /*n*/) {
                         return ScriptedTarget::Respond(fd, "sound");
                       });
  for (const char* value : kNoStatus) {
    status = value;
    const HttpReply reply = fixture.Call("a", kDeadlineMs);
    cr_expect(reply.status == 200 && reply.body == "sound", "%s: %d %s", value,
              reply.status, reply.body.c_str());
  }
  cr_expect_gt(faulty.requests(), 0);
}

// Guards against a write that counts as done, or as refused, because of such a
// response of the store.
Test(response_status, that_is_none_shows_nothing_of_a_write) {
  for (const char* status : kNoStatus) {
    StoreStandinFixture fixture;
    RawServer server(fixture.loop.get(),
                     fmt::format("HTTP/1.1 {} OK\r\nx-version: 7\r\n"
                                 "Content-Length: 0\r\n\r\n",
                                 status),
                     false);
    fixture.Connect(server.address(), Milliseconds(10'000));
    const bool written = fixture.Put("a", "value", 0).has_value();
    cr_expect(!written && fixture.reason.code == FailureCode::kStoreTimeout,
              "%s: %s", status, fixture.reason.ToString().c_str());
    cr_expect_not(fixture.Get("a").has_value(), "%s", status);
  }
}

// Guards against a record of a one-time call whose response is given to a
// caller with such a status.
Test(response_status, that_is_none_in_a_record_is_refused) {
  const auto decode = [](int64_t status) {
    const HandoverMessage message{
        .from = {"a", 1},
        .to = {"b", 2},
        .owner = {"a", 1},
        .records = {
            {RecordId{1, 2},
             Record{.state = RecordState::kDone,
                    .response = std::make_shared<RecordedResponse>()}}}};
    Failure reason;
    auto json = *DecodeCbor(message.Encode("key").substr(32), &reason);
    json[6][0][7] = status;
    const std::string body = EncodeCbor(json);
    return HandoverMessage::Decode(
               HmacSha256("key", "dragonflytack handover 1\n" + body) + body,
               "key", &reason)
        .has_value();
  };
  for (const int64_t status : {200, 404, 599}) {
    cr_expect(decode(status), "%ld", status);
  }
  for (const int64_t status : {-200, -1, 0, 99, 100, 199, 600, 999, 2000}) {
    cr_expect_not(decode(status), "%ld", status);
  }
}

}  // namespace dragonflytack
