#include <sys/queue.h>
#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include "admin_exchange.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/manual_clock.h"
#include "dragonflytack/base/settings.h"
#include "platform/configuration.h"
#include "platform/heartbeat_handler.h"
#include "platform/platform_header_codec.h"

namespace dragonflytack::platform {

namespace {

using nlohmann::json;

using Items = std::map<std::string, std::string>;

// A list of headers that is cleared by the destructor.
class Headers final {
 public:
  explicit Headers(const Items& items) {
    TAILQ_INIT(&list_);
    for (const auto& [name, value] : items) {
      evhttp_add_header(&list_, name.c_str(), value.c_str());
    }
  }
  ~Headers() { evhttp_clear_headers(&list_); }
  Headers(const Headers&) = delete;
  Headers& operator=(const Headers&) = delete;

  evkeyvalq* get() { return &list_; }
  std::string Find(const char* name) {
    const char* value = evhttp_find_header(&list_, name);
    return value == nullptr ? "" : value;
  }

 private:
  evkeyvalq list_;
};

json Configuration() {
  return json::parse(R"({
    "version": "00000007",
    "routes": {
      "columns": ["name", "host", "path_prefix", "kind", "timeout",
                  "target_latency", "priority", "service", "attempts",
                  "traffic_split"],
      "rows": [
        ["r-1", "Book.example", "/book/", "unsafe", "1200ms", "300ms", 1,
         "booking", 2, null],
        ["r-2", "view.example", "/view/", "safe", "1.5s", "250ms", 2, null, 2,
         [{"service": "roster", "weight": 90},
          {"service": "booking", "weight": 10}]]
      ]
    },
    "services": {
      "columns": ["name", "health_path", "max_connections", "protocol", "tls"],
      "rows": [["booking", "/healthz", 120, "h1", false],
               ["roster", "/healthz", 80, "h1", false]]
    },
    "limits": {"max_header_bytes": 16384}
  })");
}

struct HeartbeatFixture {
  HeartbeatFixture() {
    settings.service = "booking";
    settings.target_address = HostPort{"10.1.0.8", 8301};
  }

  AdminResponse Post(const std::string& call, const std::string& body) {
    const HeartbeatHandler handler(
        settings,
        [this](const LocalTarget& target, const AnnouncementReply& reply) {
          announced.push_back(target);
          reply({});
        },
        &logger);
    return Exchange(
        handler,
        {"POST", "/rpc", {{"call", call}, {"of", "i-1"}}, "", body, ""});
  }

  ManualClock clock;
  Logger logger{&clock, LogLevel::kError, ""};
  Settings settings;
  std::vector<LocalTarget> announced;
};

json Heartbeat() {
  return {{"address", "10.1.0.8:8301"},
          {"born", 1'792'866'019'040},
          {"info",
           {{"service", "booking"},
            {"version", "v1"},
            {"zone", "hsinchu"},
            {"slots", 13}}},
          {"status", {{"state", "ready"}, {"seq", 4}, {"warmup_left", "0ms"}}}};
}

}  // namespace

// Guards against limits or traffic shares that are read wrongly.
Test(platform_configuration, converts_to_a_table_version) {
  Failure reason;
  const auto document = ReadConfiguration(Configuration(), &reason);
  cr_assert(document.has_value(), "%s", reason.ToString().c_str());
  const RouteRow& book = document->routes.at("r-1");
  cr_expect(book.host == "book.example" && book.prefix == "/book/");
  cr_expect(book.kind == ServiceKind::kOneTime && book.timeout_ms == 1200);
  cr_expect(book.latency_objective_ms == 300 && book.rank == 1 &&
            book.attempts == 2);
  const std::vector<RouteShare> whole = {{"booking", 1}};
  cr_expect(book.shares == whole);
  const RouteRow& view = document->routes.at("r-2");
  cr_expect(view.kind == ServiceKind::kIdempotent && view.timeout_ms == 1500);
  const std::vector<RouteShare> split = {{"roster", 90}, {"booking", 10}};
  cr_expect(view.shares == split);
  cr_expect_eq(document->rows.at("roster").max_connections, 80);
  cr_expect(Table::Make(7, document->rows, document->routes, &reason) !=
            nullptr);
}

// Guards against a configuration that is applied in part if a cell is invalid.
Test(platform_configuration, invalid_cell_refuses_whole_configuration) {
  const std::pair<const char*, json> faults[] = {
      {"/routes/rows/0/3", "sometimes"},
      {"/routes/rows/0/4", 1200},
      {"/routes/rows/0/4", "soon"},
      {"/routes/rows/0/7", nullptr},
      {"/routes/rows/1/9/0", "roster"},
      {"/routes/rows/0/8", "two"},
      {"/routes/rows/0", json::array()},
      {"/services/rows/0/0", nullptr},
      {"/services", nullptr},
      {"/routes/columns/0", 5},
  };
  for (const auto& [place, value] : faults) {
    json changed = Configuration();
    changed[json::json_pointer(place)] = value;
    Failure reason;
    cr_expect(!ReadConfiguration(changed, &reason).has_value(), "%s", place);
    cr_expect(reason.code == FailureCode::kInvalidTable, "%s", place);
  }
}

// Guards against a response that is passed on to another call, a success that
// no endpoint made, and a guarantee of "not run" that the endpoint did not
// give.
Test(platform_header_codec, classifies_responses) {
  const struct {
    const char* name;
    int status;
    std::map<std::string, std::string> headers;
    TargetResponseKind expected_kind;
  } cases[] = {
      {"success",
       200,
       {{"Attempt-Id", "a"}, {"Upstream-Signature", "s"}},
       TargetResponseKind::kResponse},
      {"unsigned success",
       200,
       {{"Attempt-Id", "a"}},
       TargetResponseKind::kMismatched},
      {"other call",
       200,
       {{"Attempt-Id", "b"}, {"Upstream-Signature", "s"}},
       TargetResponseKind::kMismatched},
      {"no call",
       200,
       {{"Upstream-Signature", "s"}},
       TargetResponseKind::kMismatched},
      {"encoded",
       200,
       {{"Attempt-Id", "a"},
        {"Upstream-Signature", "s"},
        {"Content-Encoding", "gzip"}},
       TargetResponseKind::kMismatched},
      {"own failure",
       500,
       {{"Attempt-Id", "a"}, {"Upstream-Signature", "s"}},
       TargetResponseKind::kResponse},
      {"shed",
       503,
       {{"Attempt-Id", "a"}, {"Not-Executed", "1"}},
       TargetResponseKind::kNotRun},
      {"shed no call",
       503,
       {{"Not-Executed", "1"}},
       TargetResponseKind::kMismatched},
      {"shed another call",
       503,
       {{"Attempt-Id", "b"}, {"Not-Executed", "1"}},
       TargetResponseKind::kMismatched},
      {"503 without a guarantee",
       503,
       {{"Attempt-Id", "a"}},
       TargetResponseKind::kMismatched},
      {"shed with a status of a call that ran",
       200,
       {{"Attempt-Id", "a"},
        {"Upstream-Signature", "s"},
        {"Not-Executed", "1"}},
       TargetResponseKind::kMismatched},
      {"shed with a failure of a call that ran",
       500,
       {{"Attempt-Id", "a"}, {"Not-Executed", "1"}},
       TargetResponseKind::kMismatched},
      {"shed at the deadline of a call that ran",
       504,
       {{"Attempt-Id", "a"}, {"Not-Executed", "1"}},
       TargetResponseKind::kMismatched},
      {"shed with a redirection",
       302,
       {{"Attempt-Id", "a"}, {"Not-Executed", "1"}},
       TargetResponseKind::kMismatched},
      {"shed for another reason",
       413,
       {{"Attempt-Id", "a"}, {"Not-Executed", "1"}},
       TargetResponseKind::kNotRun},
      {"misdirected",
       421,
       {{"Attempt-Id", "a"}},
       TargetResponseKind::kWrongTarget},
      {"misdirected another call",
       421,
       {{"Attempt-Id", "b"}},
       TargetResponseKind::kMismatched},
      {"misdirected no call",
       421,
       {{"Upstream-Instance", "i-2"}},
       TargetResponseKind::kMismatched},
  };
  Headers call(Items{{"Attempt-Id", "a"}});
  for (const auto& test : cases) {
    Headers response(test.headers);
    cr_expect(
        PlatformHeaderCodec().ClassifyResponse(
            call.get(), test.status, response.get()) == test.expected_kind,
        "%s", test.name);
  }
  // Endpoints refuse a call without an id.
  Headers unnamed_call(Items{});
  Headers refusal(Items{{"Not-Executed", "1"}});
  cr_expect(PlatformHeaderCodec().ClassifyResponse(unnamed_call.get(), 400,
                                                   refusal.get()) ==
            TargetResponseKind::kNotRun);
  Headers success(Items{{"Upstream-Signature", "s"}});
  cr_expect(PlatformHeaderCodec().ClassifyResponse(unnamed_call.get(), 200,
                                                   success.get()) ==
            TargetResponseKind::kMismatched);
}

// Guards against callers that set the platform's headers for an endpoint, and
// against malformed loads that are used.
Test(platform_header_codec, only_the_node_writes_reserved_headers) {
  const PlatformHeaderCodec headers;
  for (const char* name : {"deadline-ms", "EXPECTED-INSTANCE",
                           "Downstream-Service", "Not-Executed"}) {
    cr_expect(headers.IsReserved(name), "%s", name);
  }
  cr_expect(!headers.IsReserved("Attempt-Id"));
  Headers out(Items{});
  headers.WriteTargetHeaders({Milliseconds(250), "roster", "i-7"}, out.get());
  cr_expect(out.Find("Deadline-Ms") == "250");
  cr_expect(out.Find("Downstream-Service") == "roster");
  cr_expect(out.Find("Expected-Instance") == "i-7");
  Headers refusal(Items{});
  headers.WriteRetryAfter(Milliseconds(50), refusal.get());
  cr_expect(refusal.Find("Retry-After") == "0.050");
  Headers load(Items{{"Upstream-Load", "3,1,8"}});
  cr_expect(headers.ReadReportedLoad(load.get()).load == TargetLoad(3, 1, 8));
  for (const char* text : {"3,1,8,250", " 3, 1,8 ,249.6", "3,1,8,250,7,x"}) {
    Headers longer(Items{{"Upstream-Load", text}});
    cr_expect(
        headers.ReadReportedLoad(longer.get()).load == TargetLoad(3, 1, 8, 250),
        "%s", text);
  }
  for (const char* text :
       {"", "3", "3,1", "3,1,0", "3,1,8,", "-1,0,8", "3,1,8,0", "3,1,8,x",
        "3,1,8,nan", "3,1,8,-5", "3,1,9999999", "3,1,99999999999"}) {
    Headers bad(Items{{"Upstream-Load", text}});
    const TargetLoadReport report = headers.ReadReportedLoad(bad.get());
    cr_expect(
        !report.load.has_value() && report.error.empty() == (*text == '\0'),
        "%s", text);
  }
}

// Guards against invalid reports, or reports for other endpoints, that change
// the state of the local target.
Test(platform_heartbeats, refuses_invalid_fields_and_other_endpoints) {
  HeartbeatFixture fixture;
  cr_assert_eq(fixture.Post("instances.heartbeat", Heartbeat().dump()).status,
               200);
  cr_assert_eq(fixture.announced.size(), 1);
  const LocalTarget& target = fixture.announced.front();
  cr_expect(target.instance == "i-1" && target.sequence == 4 &&
            target.started_ms == 1'792'866'019'040 && target.slots == 13 &&
            target.state == TargetState::kReady && target.port == 8301);
  const std::pair<const char*, json> faults[] = {
      {"/address", "10.1.0.9:8301"}, {"/address", 7},
      {"/born", "yesterday"},        {"/born", 1.5},
      {"/info/service", "payroll"},  {"/info/slots", "many"},
      {"/info/version", 7},          {"/info/version", nullptr},
      {"/info/zone", json::array()}, {"/info/zone", nullptr},
      {"/status/warmup_left", 1},    {"/status/warmup_left", "soon"},
      {"/status/state", "asleep"},   {"/status/seq", nullptr},
      {"/status", "ready"},          {"/info", nullptr},
  };
  for (const auto& [place, value] : faults) {
    json changed = Heartbeat();
    changed[json::json_pointer(place)] = value;
    cr_expect_eq(fixture.Post("instances.heartbeat", changed.dump()).status,
                 400, "%s", place);
  }
  cr_expect_eq(fixture.Post("instances.heartbeat", "\xff{").status, 400);
  cr_expect_eq(fixture.Post("instances.other", "{}").status, 404);
  cr_assert_eq(fixture.announced.size(), 1);
  cr_expect_eq(
      fixture.Post("instances.deregister", "{\"born\":\"then\"}").status, 400);
  cr_assert_eq(fixture.announced.size(), 1);
  cr_assert_eq(fixture.Post("instances.deregister", "").status, 200);
  cr_assert(fixture.announced.back().state == TargetState::kLeft);
}

}  // namespace dragonflytack::platform
