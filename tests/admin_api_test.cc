#include "daemon/admin_api.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "admin_exchange.h"
#include "daemon/admin_source.h"

namespace dragonflytack {

namespace {

class FakeSource final : public AdminSource {
 public:
  nlohmann::json Status() override { return {{"node", "n1"}}; }
  nlohmann::json Nodes() override { return {{"nodes", "\xff"}}; }
  std::optional<nlohmann::json> Routes(const std::string& service) override {
    return service == "roster" ? std::optional(nlohmann::json{{"version", 1}})
                               : std::nullopt;
  }
  std::optional<nlohmann::json> Table() override { return std::nullopt; }
  std::optional<nlohmann::json> Evidence(const std::string& since) override {
    return since == "7" ? std::nullopt
                        : std::optional(nlohmann::json{{"service", "roster"}});
  }
  nlohmann::json Rollouts() override { return {{"controller", false}}; }
  std::vector<Span> Trace(const std::string& trace_id) override {
    Span span;
    span.trace_id = trace_id;
    return {span};
  }
  std::string Metrics() override { return "a 1\n"; }
  void HandleAnnouncement(const LocalTarget& target,
                          AnnouncementReply reply) override {
    announced.push_back(target);
    reply(refusal);
  }

  Failure refusal;
  std::vector<LocalTarget> announced;
};

AdminRequest Get(const std::string& path) {
  AdminRequest request;
  request.method = "GET";
  request.path = path;
  request.remote_address = "127.0.0.1";
  return request;
}

AdminRequest Announce(const std::string& body) {
  AdminRequest request = Get("/announce");
  request.method = "POST";
  request.body = body;
  return request;
}

// HMAC-SHA256 of "admin" under "0123456789abcdef", computed with OpenSSL's
// command-line tool.
constexpr char kAuthorization[] =
    "Bearer af864b0ddca5a6bf037200cebb5f335ff15982720d30f4d1a75a543d21787a5c";

}  // namespace

// Guards against an admin port that is accessible without the shared key, and
// against health checks and target announcements that require it.
Test(admin_api, requires_the_key_for_operators_only) {
  FakeSource source;
  const AdminApi api("0123456789abcdef", "192.0.2.7", &source);
  for (const char* path :
       {"/status", "/nodes", "/routes", "/table", "/trace", "/metrics"}) {
    AdminRequest request = Get(path);
    cr_expect_eq(Exchange(api, request).status, 401, "%s", path);
    request.authorization = std::string(kAuthorization) + "0";
    cr_expect_eq(Exchange(api, request).status, 401, "%s", path);
    request.authorization = kAuthorization;
    cr_expect_neq(Exchange(api, request).status, 401, "%s", path);
  }
  cr_expect_eq(Exchange(api, Get("/healthz")).status, 200);
  cr_expect_eq(
      Exchange(api, Announce(R"({"service":"a","port":1,"state":"ready"})"))
          .status,
      200);
}

// Guards against responses without a typed error, and against invalid input
// that changes the node's state.
Test(admin_api, responds_to_bad_requests_with_typed_errors) {
  FakeSource source;
  const AdminApi api("", "192.0.2.7", &source);
  AdminRequest post_status = Get("/status");
  post_status.method = "POST";
  AdminRequest no_service = Get("/routes");
  AdminRequest other_service = Get("/routes");
  other_service.query["service"] = "other";
  AdminRequest bad_trace = Get("/trace");
  bad_trace.query["id"] = std::string(32, 'G');
  AdminRequest remote_announcement =
      Announce(R"({"service":"a","port":1,"state":"ready"})");
  remote_announcement.remote_address = "192.0.2.8";
  const std::string base = R"("service":"a","port":1,"state":"ready")";
  const struct {
    AdminRequest request;
    int status;
    const char* code;
    const char* subject;
  } cases[] = {
      {Get("/"), 404, "not_found", "/"},
      {Get("/status/"), 404, "not_found", "/status/"},
      {post_status, 405, "invalid_argument", "/status"},
      {Get("/announce"), 405, "invalid_argument", "/announce"},
      {no_service, 400, "invalid_argument", "service"},
      {other_service, 404, "not_found", "other"},
      {Get("/trace"), 400, "invalid_argument", "id"},
      {bad_trace, 400, "invalid_argument", "id"},
      {Get("/table"), 503, "not_found", "table"},
      {remote_announcement, 403, "authentication", "192.0.2.8"},
      {Announce(std::string(5000, ' ')), 413, "too_large", "/announce"},
      {Announce(""), 400, "invalid_argument", "body"},
      {Announce("{"), 400, "invalid_argument", "body"},
      {Announce("[1]"), 400, "invalid_argument", "body"},
      {Announce(std::string(4000, '[')), 400, "invalid_argument", "body"},
      {Announce("{}"), 400, "invalid_argument", "service"},
      {Announce(R"({"service":"a","port":1})"), 400, "invalid_argument",
       "state"},
      {Announce("{" + base + R"(,"other":1})"), 400, "invalid_argument",
       "other"},
      {Announce("{" + base + R"(,"slots":-1})"), 400, "invalid_argument",
       "slots"},
      {Announce("{" + base + R"(,"slots":[1]})"), 400, "invalid_argument",
       "body"},
      {Announce("{" + base + R"(,"slots":18446744073709551615})"), 400,
       "invalid_argument", "slots"},
      {Announce("{" + base + R"(,"slots":1.5})"), 400, "invalid_argument",
       "slots"},
      {Announce("{" + base + R"(,"address":"192.0.2.8"})"), 400,
       "invalid_argument", "address"},
      {Announce(R"({"service":"A b","port":1,"state":"ready"})"), 400,
       "invalid_argument", "service"},
      {Announce(R"({"service":"a","port":0,"state":"ready"})"), 400,
       "invalid_argument", "port"},
      {Announce(R"({"service":"a","port":"1","state":"ready"})"), 400,
       "invalid_argument", "port"},
      {Announce(R"({"service":"a","port":1,"state":"up"})"), 400,
       "invalid_argument", "state"},
      {Announce(R"({"service":"a","port":1,"state":5})"), 400,
       "invalid_argument", "state"},
  };
  for (const auto& item : cases) {
    const AdminResponse response = Exchange(api, item.request);
    const nlohmann::json body =
        nlohmann::json::parse(response.body, nullptr, false);
    cr_assert(body.is_object(), "%s", item.request.body.c_str());
    cr_expect(
        response.status == item.status && body["error"]["code"] == item.code &&
            body["error"]["subject"] == item.subject,
        "%s %s: %d %s", item.request.path.c_str(), item.request.body.c_str(),
        response.status, response.body.c_str());
  }
  cr_expect(source.announced.empty());
}

// Guards against fields of an announcement that are dropped, and against a list
// of nodes with a name that is not valid UTF-8, which terminates the process.
Test(admin_api, responds_to_valid_requests) {
  FakeSource source;
  const AdminApi api("", "192.0.2.7", &source);
  AdminRequest own_announcement =
      Announce(R"({"service":"a-1","port":80,"state":"warming","slots":3})");
  own_announcement.remote_address = "192.0.2.7";
  cr_expect_eq(Exchange(api, own_announcement).status, 200);
  cr_expect_eq(
      Exchange(api, Announce(R"({"service":"a","port":1,)"
                             R"("state":"left","address":"127.0.0.9"})"))
          .status,
      200);
  const std::vector<LocalTarget> expected = {
      {"a-1", "192.0.2.7", 80, TargetState::kWarming, 3},
      {"a", "127.0.0.9", 1, TargetState::kLeft, 0}};
  cr_expect(source.announced == expected);
  source.refusal = {FailureCode::kDraining, "n1", "stopping"};
  cr_expect_eq(Exchange(api, own_announcement).status, 503);
  AdminRequest routes = Get("/routes");
  routes.query["service"] = "roster";
  cr_expect(Exchange(api, routes).body == "{\"version\":1}");
  AdminRequest trace = Get("/trace");
  trace.query["id"] = std::string(32, 'a');
  cr_expect(Exchange(api, trace).body.find("\"spans\":[{") !=
            std::string::npos);
  cr_expect(Exchange(api, Get("/metrics")).body == "a 1\n");
  cr_expect_eq(Exchange(api, Get("/nodes")).status, 200);
  AdminRequest evidence = Get("/evidence");
  cr_expect(Exchange(api, evidence).body == R"({"service":"roster"})");
  evidence.query["since"] = "7";
  const AdminResponse unchanged = Exchange(api, evidence);
  cr_expect(unchanged.status == 200 && unchanged.body.empty());
}

}  // namespace dragonflytack
