// The API keys of client accounts at the entry, over loopback.

#include <sys/socket.h>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "call_fixture.h"
#include "platform/platform_header_codec.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kSecond{1'000};
constexpr char kOpen[] = "open.example";
constexpr char kClosed[] = "closed.example";

AccountRow Account(const std::string& name,
                   const std::vector<std::string>& keys,
                   int rank = 0) {
  AccountRow row;
  row.account = name;
  for (const std::string& key : keys) {
    row.keys.push_back(*KeyDigest::OfKey(key));
  }
  row.rank = rank;
  return row;
}

Table::Accounts Accounts(const std::vector<AccountRow>& rows) {
  Table::Accounts accounts;
  for (const AccountRow& row : rows) {
    accounts[row.account] = row;
  }
  return accounts;
}

RouteRow Route(const std::string& host, int rank, bool is_public) {
  RouteRow route;
  route.name = host;
  route.host = host;
  route.prefix = "/";
  route.timeout_ms = 5'000;
  route.attempts = 3;
  route.rank = rank;
  route.shares = {{"s", 1}};
  route.is_public = is_public;
  return route;
}

Table::Routes Routes() {
  return {{kOpen, Route(kOpen, 0, true)}, {kClosed, Route(kClosed, 0, false)}};
}

// The heads of the requests that targets received, as replies for Header().
class Heads final {
 public:
  // Returns a script that records the head and then runs `script`.
  ScriptedTarget::Script Record(ScriptedTarget::Script script) {
    return [this, script = std::move(script)](int fd, const std::string& head,
                                              int n) {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        heads_.push_back(HttpReply{0, head, "", Milliseconds(0)});
      }
      return script(fd, head, n);
    };
  }

  std::vector<HttpReply> Take() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(heads_, {});
  }

 private:
  std::mutex mutex_;
  std::vector<HttpReply> heads_;
};

HttpReply Send(const CallFixture& fixture, const std::string& request) {
  const Socket socket(fixture.Address(0), CallFixture::kCallPort);
  socket.Send(request);
  return socket.Receive(5 * kSecond);
}

std::string RequestTo(const std::string& host, const std::string& headers) {
  return fmt::format(
      "POST /x HTTP/1.1\r\nHost: {}\r\nContent-Length: 0\r\n{}\r\n", host,
      headers);
}

// Sends the request until it is answered with the status, because nodes take a
// published version in the next iteration of their event loops.
HttpReply SendUntil(const CallFixture& fixture,
                    const std::string& request,
                    int status) {
  HttpReply reply;
  for (int i = 0; i < 100 && reply.status != status; ++i) {
    reply = Send(fixture, request);
  }
  cr_assert_eq(reply.status, status, "%d %s", reply.status, reply.head.c_str());
  return reply;
}

// Returns a key for a one-time call whose owner is the node.
std::string IssueKey(const CallFixture& fixture, int owner) {
  const Socket socket(fixture.Address(owner), CallFixture::kCallPort);
  socket.Send("POST /-/keys HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  const HttpReply reply = socket.Receive(2 * kSecond);
  const auto json = nlohmann::json::parse(reply.body, nullptr, false);
  cr_assert(json.is_object() && json.contains("key"), "%d %s", reply.status,
            reply.body.c_str());
  return json["key"].get<std::string>();
}

void ExpectAccount(const std::vector<HttpReply>& heads,
                   const std::string& account,
                   const std::string& context) {
  cr_expect(!heads.empty(), "%s: no request", context.c_str());
  for (const HttpReply& head : heads) {
    ExpectEqual(head.Header("x-client-account"), account, context);
    ExpectEqual(head.Header("x-api-key"), "", context);
    ExpectEqual(head.Header("x-account"), "", context);
    cr_expect(head.head.find("secret") == std::string::npos, "%s: %s",
              context.c_str(), head.head.c_str());
    cr_expect(head.head.find("forged") == std::string::npos, "%s: %s",
              context.c_str(), head.head.c_str());
  }
}

constexpr char kForged[] =
    "x-api-key: secret-1\r\nx-client-account: forged\r\nx-account: forged\r\n";

}  // namespace

// Guards against calls that run without a valid key, a refusal that callers
// repeat, and a key that is written to the response.
Test(account_call, unknown_and_missing_keys_are_refused_with_401) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent));
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        RespondWithRequestId);
  fixture.Publish(Row(ServiceKind::kIdempotent), {}, false,
                  Accounts({Account("a", {"secret-1", "secret-2"}),
                            Account("keyless", {})}));
  SendUntil(fixture, CallFixture::Request("0", 1000), 401);
  const int earlier = target.requests();
  const std::string refused[] = {
      "",
      "x-api-key:\r\n",
      "x-api-key: secret-3\r\n",
      "x-api-key: secret-1 secret-2\r\n",
      "x-api-key: SECRET-1\r\n",
      "x-api-key: " + KeyDigest::OfKey("secret-1")->ToText() + "\r\n",
      "x-api-key: secret-1\r\nx-api-key: secret-2\r\n",
      "x-api-key: " + std::string(513, 'k') + "\r\n",
      "x-client-account: a\r\nx-account: a\r\n",
      "Key: secret-1\r\n",
  };
  for (const std::string& headers : refused) {
    const HttpReply reply = fixture.Call("1", 1000, headers);
    cr_expect_eq(reply.status, 401, "%s: %d", headers.c_str(), reply.status);
    ExpectEqual(reply.Header("x-reason"), "unknown_key", headers);
    ExpectEqual(reply.Header("x-outcome"), "not-run", headers);
    ExpectEqual(reply.Header("retry-after"), "", headers);
    cr_expect((reply.head + reply.body).find("secret") == std::string::npos,
              "%s", reply.head.c_str());
  }
  cr_expect_eq(target.requests(), earlier);
  for (const char* const key : {"secret-1", "secret-2"}) {
    const HttpReply reply =
        fixture.Call("2", 1000, fmt::format("X-Api-Key: {}\r\n", key));
    cr_expect_eq(reply.status, 200, "%s: %d", key, reply.status);
  }
}

// Guards against 401 for a key that a newer version has: callers do not repeat
// a call after 401.
Test(account_call, unknown_key_is_refused_with_503_while_outdated) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent));
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        RespondWithRequestId);
  const ServiceRow row = Row(ServiceKind::kIdempotent);
  fixture.Publish(row, {}, true, Accounts({Account("a", {"old"})}));
  const std::string request =
      CallFixture::Request("1", 1000, "x-api-key: new\r\n");
  const HttpReply refused = SendUntil(fixture, request, 503);
  ExpectEqual(refused.Header("x-reason"), "table_outdated");
  ExpectEqual(refused.Header("x-outcome"), "not-run");
  cr_expect(!refused.Header("retry-after").empty());
  cr_expect_eq(Send(fixture, CallFixture::Request("1", 1000)).status, 503);
  const HttpReply known = fixture.Call("1", 1000, "x-api-key: old\r\n");
  cr_expect_eq(known.status, 200, "%d", known.status);
  fixture.Publish(row, {}, false, Accounts({Account("a", {"old", "new"})}));
  SendUntil(fixture, request, 200);
}

// Guards against public routes that need a key, or that pass on the account
// that a caller claims.
Test(account_call, public_routes_need_no_key_and_pass_no_account) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent),
                      CallFixture::Addressing::kRoutes);
  Heads heads;
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        heads.Record(RespondWithRequestId));
  fixture.Publish(Row(ServiceKind::kIdempotent), Routes(), false,
                  Accounts({Account("a", {"secret-1"})}));
  SendUntil(fixture, RequestTo(kClosed, ""), 401);
  heads.Take();
  for (const char* const headers :
       {"", "x-api-key: secret-9\r\nx-client-account: forged\r\n", kForged}) {
    const HttpReply reply = Send(fixture, RequestTo(kOpen, headers));
    cr_expect_eq(reply.status, 200, "%s: %d", headers, reply.status);
    ExpectAccount(heads.Take(), "", headers);
  }
  cr_expect_eq(Send(fixture, RequestTo(kClosed, kForged)).status, 200);
  ExpectAccount(heads.Take(), "a", "closed");
}

// Guards against a key that reaches a target, and against an attempt that names
// no account or the one that the caller claims: a retry on another target, a
// hedge, and a one-time call without a key of its own.
Test(account_call, account_but_no_key_reaches_the_target_on_each_attempt) {
  CallFixture fixture(2, Row(ServiceKind::kIdempotent));
  Heads heads;
  std::atomic<int> attempts = 0;
  // The first request of each call fails or takes longer than half of the
  // deadline, after which another target gets a hedge.
  std::atomic<bool> is_slow = false;
  const auto script = [&](int fd, const std::string& head, int n) {
    if (++attempts > 1) {
      return RespondWithRequestId(fd, head, n);
    }
    std::this_thread::sleep_for(Milliseconds(is_slow ? 1'500 : 0));
    return false;
  };
  ScriptedTarget first(fixture.Address(1), CallFixture::kTargetPort,
                       heads.Record(script));
  ScriptedTarget second(fixture.Address(2), CallFixture::kTargetPort,
                        heads.Record(script));
  ServiceRow row = Row(ServiceKind::kIdempotent);
  const Table::Accounts accounts = Accounts({Account("a", {"secret-1"})});
  fixture.Publish(row, {}, false, accounts);
  SendUntil(fixture, CallFixture::Request("0", 1000), 401);
  for (const bool slow : {false, true}) {
    heads.Take();
    attempts = 0;
    is_slow = slow;
    const HttpReply reply = fixture.Call("1", 2000, kForged);
    cr_expect_eq(reply.status, 200, "slow %d: %d", slow, reply.status);
    const std::vector<HttpReply> seen = heads.Take();
    cr_expect_geq(seen.size(), 2, "slow %d: %zu attempts", slow, seen.size());
    ExpectAccount(seen, "a", slow ? "hedge" : "retry");
  }
  row.kind = ServiceKind::kOneTime;
  fixture.Publish(row, {}, false, accounts);
  std::this_thread::sleep_for(Milliseconds(50));
  cr_expect_eq(fixture.Call("1", 1000, kForged).status, 200);
  ExpectAccount(heads.Take(), "a", "one-time");
}

// Guards against the same for a call with a one-time key that another node
// owns: the entry node forwards it to the owner, which makes the attempts.
Test(account_call, account_passes_through_the_owner_of_a_one_time_key) {
  CallFixture fixture(2, Row(ServiceKind::kOneTime));
  Heads heads;
  ScriptedTarget first(fixture.Address(1), CallFixture::kTargetPort,
                       heads.Record(RespondWithRequestId));
  ScriptedTarget second(fixture.Address(2), CallFixture::kTargetPort,
                        heads.Record(RespondWithRequestId));
  fixture.Publish(Row(ServiceKind::kOneTime), {}, false,
                  Accounts({Account("a", {"secret-1"})}));
  SendUntil(fixture, CallFixture::Request("0", 1000), 401);
  heads.Take();
  for (const int owner : {0, 1, 2}) {
    const std::string key =
        fmt::format("idempotency-key: {}\r\n", IssueKey(fixture, owner));
    const HttpReply refused = fixture.Call("1", 2000, key);
    cr_expect_eq(refused.status, 401, "owner %d: %d", owner, refused.status);
    const HttpReply reply = fixture.Call("1", 2000, key + kForged);
    cr_expect_eq(reply.status, 200, "owner %d: %d %s", owner, reply.status,
                 reply.head.c_str());
    ExpectAccount(heads.Take(), "a", fmt::format("owner {}", owner));
  }
}

// Guards against a revoked key that stays valid for the callers that have a
// connection.
Test(account_call, revoked_key_is_refused_on_a_kept_connection) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent));
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        RespondWithRequestId);
  const ServiceRow row = Row(ServiceKind::kIdempotent);
  fixture.Publish(row, {}, false, Accounts({Account("a", {"k1", "k2"})}));
  SendUntil(fixture, CallFixture::Request("0", 1000), 401);
  Socket kept(fixture.Address(0), CallFixture::kCallPort);
  HttpReply reply;
  const auto call = [&](const char* key) {
    kept.Send(
        CallFixture::Request("1", 5000, fmt::format("x-api-key: {}\r\n", key)));
    reply = kept.ReceiveNext(7 * kSecond);
    return reply.status;
  };
  for (int i = 0; i < 10; ++i) {
    cr_assert_eq(call("k1"), 200, "call %d after %ld ms: %s", i,
                 reply.elapsed.count(), reply.head.c_str());
  }
  fixture.Publish(row, {}, false, Accounts({Account("a", {"k2"})}));
  int status = 0;
  for (int i = 0; i < 100 && status != 401; ++i) {
    status = call("k1");
  }
  cr_assert_eq(status, 401);
  const int executed = target.requests();
  for (int i = 0; i < 10; ++i) {
    cr_assert_eq(call("k1"), 401);
  }
  cr_expect_eq(target.requests(), executed);
  cr_expect_eq(call("k2"), 200);
}

// Guards against headers of a deployment without accounts that are dropped:
// they mean nothing to the nodes there.
Test(account_call, headers_pass_unchanged_without_accounts) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent));
  Heads heads;
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        heads.Record(RespondWithRequestId));
  cr_expect_eq(
      fixture.Call("1", 1000, "x-api-key: own\r\nx-client-account: mine\r\n")
          .status,
      200);
  const std::vector<HttpReply> seen = heads.Take();
  cr_assert_eq(seen.size(), 1);
  ExpectEqual(seen[0].Header("x-api-key"), "own");
  ExpectEqual(seen[0].Header("x-client-account"), "mine");
}

// Guards against a key on the users' platform that reaches an endpoint, an
// endpoint that gets no account, and headers that are dropped there without
// accounts.
Test(account_call, platform_sends_the_account_as_tenant) {
  CallFixture fixture(1, Row(ServiceKind::kIdempotent),
                      std::make_shared<platform::PlatformHeaderCodec>(),
                      Settings().drain_timeout_ms,
                      CallFixture::Addressing::kRoutes);
  Heads heads;
  ScriptedTarget target(
      fixture.Address(1), CallFixture::kTargetPort,
      heads.Record([](int fd, const std::string&, int) {
        const std::string text =
            "HTTP/1.1 200 OK\r\nAttempt-Id: c1\r\nUpstream-Signature: s\r\n"
            "Content-Length: 0\r\n\r\n";
        return send(fd, text.data(), text.size(), MSG_NOSIGNAL) > 0;
      }));
  const std::string headers =
      "Attempt-Id: c1\r\nKey: secret-1\r\nTenant: forged\r\n";
  fixture.Publish(Row(ServiceKind::kIdempotent), Routes());
  SendUntil(fixture, RequestTo(kClosed, headers), 200);
  std::vector<HttpReply> seen = heads.Take();
  ExpectEqual(seen.back().Header("key"), "secret-1");
  ExpectEqual(seen.back().Header("tenant"), "forged");
  fixture.Publish(Row(ServiceKind::kIdempotent), Routes(), false,
                  Accounts({Account("a b", {"secret-1"})}));
  const HttpReply refused = SendUntil(
      fixture, RequestTo(kClosed, "Attempt-Id: c1\r\nTenant: a b\r\n"), 401);
  ExpectEqual(refused.Header("x-reason"), "unknown_key");
  heads.Take();
  for (const char* const host : {kClosed, kOpen}) {
    cr_expect_eq(Send(fixture, RequestTo(host, headers)).status, 200);
    seen = heads.Take();
    cr_assert_eq(seen.size(), 1);
    ExpectEqual(seen[0].Header("key"), "", host);
    ExpectEqual(seen[0].Header("tenant"), host == kClosed ? "a b" : "", host);
  }
}

// Guards against a queue in which the rank of the route outweighs that of the
// account, high account ranks that count as equal, and a rank that is lost on
// the way over the owner of a one-time key.
Test(account_call, rank_of_the_account_precedes_that_of_the_route) {
  for (const bool is_keyed : {false, true}) {
    ServiceRow row =
        Row(is_keyed ? ServiceKind::kOneTime : ServiceKind::kIdempotent);
    row.slots = 1;
    CallFixture fixture(1, row, CallFixture::Addressing::kRoutes);
    std::mutex mutex;
    std::vector<std::string> order;
    ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                          [&](int fd, const std::string& head, int n) {
                            {
                              const std::lock_guard<std::mutex> lock(mutex);
                              order.push_back(RequestId(head));
                            }
                            std::this_thread::sleep_for(Milliseconds(400));
                            return RespondWithRequestId(fd, head, n);
                          });
    Table::Routes routes = Routes();
    routes["late.example"] = Route("late.example", 3, false);
    for (auto& [name, route] : routes) {
      route.kind = row.kind;
    }
    fixture.Publish(row, routes, false,
                    Accounts({Account("bulk", {"k1"}, 400),
                              Account("urgent", {"k2"}, 300)}));
    SendUntil(fixture, RequestTo(kClosed, ""), 401);
    {
      const std::lock_guard<std::mutex> lock(mutex);
      order.clear();
    }
    const struct {
      const char* id;
      const char* host;
      const char* key;
    } calls[] = {{"running", kClosed, "k1"},
                 {"bulk", kClosed, "k1"},
                 {"urgent", "late.example", "k2"}};
    std::vector<std::unique_ptr<Socket>> callers;
    for (const auto& call : calls) {
      std::string headers = fmt::format("x-request-id: {}\r\nx-api-key: {}\r\n",
                                        call.id, call.key);
      if (is_keyed) {
        headers += fmt::format("idempotency-key: {}\r\n", IssueKey(fixture, 1));
      }
      callers.push_back(
          std::make_unique<Socket>(fixture.Address(0), CallFixture::kCallPort));
      callers.back()->Send(RequestTo(call.host, headers));
      // The calls arrive one after the other.
      std::this_thread::sleep_for(Milliseconds(50));
    }
    for (const auto& caller : callers) {
      cr_expect_eq(caller->Receive(5 * kSecond).status, 200);
    }
    const std::vector<std::string> expected = {"running", "urgent", "bulk"};
    cr_expect(order == expected, "keyed %d: %s", is_keyed,
              fmt::format("{}", fmt::join(order, " ")).c_str());
  }
}

}  // namespace dragonflytack
