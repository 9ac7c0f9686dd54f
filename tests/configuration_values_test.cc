#include <cmath>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "call_fixture.h"
#include "distribution/message_codec.h"
#include "dragonflytack/routing/route_index.h"
#include "dragonflytack/table/table.h"
#include "dragonflytack/table/table_document.h"
#include "platform/configuration.h"

namespace dragonflytack::platform {

namespace {

using nlohmann::json;

json Configuration() {
  return json::parse(R"({
    "version": "00000010",
    "routes": {"columns": ["name", "host", "path_prefix", "kind", "timeout",
                           "attempts", "service", "target_latency", "priority",
                           "traffic_split"],
               "rows": [["r-1", "book.example", "/book/", "unsafe", "1200ms", 2,
                         "booking", "300ms", 1, null]]},
    "services": {"columns": ["name", "max_connections"],
                 "rows": [["booking", 120], ["roster", 120]]}
  })");
}

// Converts as ObjectStore and TableSync do.
std::shared_ptr<const Table> MakeTable(const json& configuration,
                                       Failure* reason) {
  const auto document = ReadConfiguration(configuration, reason);
  return document
             ? Table::MakeAccepted(16, document->rows, document->routes, reason)
             : nullptr;
}

std::shared_ptr<const Table> MakeTableWithWeights(const json& first,
                                                  const json& second,
                                                  Failure* reason) {
  json configuration = Configuration();
  json& route = configuration["routes"]["rows"][0];
  route[6] = nullptr;
  route[9] = {{{"service", "booking"}, {"weight", first}},
              {{"service", "roster"}, {"weight", second}}};
  return MakeTable(configuration, reason);
}

}  // namespace

// Guards against 404 for the routes of a configuration that is refused whole
// because the weights of one route are not integers or are large.
Test(configuration_values, weights_keep_their_proportions) {
  const struct {
    json first;
    json second;
    double share_of_first;
  } cases[] = {
      {0.9, 0.1, 0.9},
      {0.5, 0.25, 2.0 / 3},
      {33.3, 66.7, 0.333},
      {90.0, 10.0, 0.9},
      {1, 0.001, 1 / 1.001},
      {3'000'000, 1'000'000, 0.75},
      {4'294'967'296, 12'884'901'888, 0.25},
      {1e300, 3e300, 0.25},
      {1e-320, 1e-320, 0.5},
      {0.5, 0, 1},
      {90, 10, 0.9},
      {1'000'000, 0, 1},
  };
  for (const auto& test : cases) {
    const std::string name =
        fmt::format("{}, {}", test.first.dump(), test.second.dump());
    Failure reason;
    const auto table = MakeTableWithWeights(test.first, test.second, &reason);
    if (table == nullptr) {
      cr_expect(false, "%s: %s", name.c_str(), reason.ToString().c_str());
      continue;
    }
    const std::vector<RouteShare>& shares = table->routes().at("r-1").shares;
    cr_assert_eq(shares.size(), 2u);
    const double share = static_cast<double>(shares[0].weight) /
                         (shares[0].weight + shares[1].weight);
    cr_expect(std::abs(share - test.share_of_first) < 1e-6, "%s: %f",
              name.c_str(), share);
  }
}

// Guards against 404 for the routes of a configuration that is refused whole
// because one number is above the range of its column.
Test(configuration_values, large_numbers_are_lowered_to_the_range) {
  const struct {
    const char* cell;
    json value;
    int expected;
  } cases[] = {
      {"/routes/rows/0/4", "600s", 600'000},
      {"/routes/rows/0/4", "601s", 600'000},
      {"/routes/rows/0/4", "1000000s", 600'000},
      {"/routes/rows/0/5", 100, 100},
      {"/routes/rows/0/5", 101, 100},
      {"/routes/rows/0/5", 4'294'967'298, 100},
      {"/routes/rows/0/5", 18'446'744'073'709'551'615u, 100},
      {"/routes/rows/0/5", 3.0, 3},
      {"/routes/rows/0/7", "900000ms", 600'000},
      {"/routes/rows/0/8", 1000, 1000},
      {"/routes/rows/0/8", 5000, 1000},
      {"/routes/rows/0/8", 1e300, 1000},
      {"/services/rows/0/1", 100'001, 100'000},
      {"/services/rows/0/1", 5'000'000'000, 100'000},
  };
  for (const auto& test : cases) {
    const std::string name = fmt::format("{} {}", test.cell, test.value.dump());
    json configuration = Configuration();
    configuration[json::json_pointer(test.cell)] = test.value;
    Failure reason;
    const auto table = MakeTable(configuration, &reason);
    if (table == nullptr) {
      cr_expect(false, "%s: %s", name.c_str(), reason.ToString().c_str());
      continue;
    }
    const RouteRow& route = table->routes().at("r-1");
    const std::map<std::string, int> values = {
        {"/routes/rows/0/4", route.timeout_ms},
        {"/routes/rows/0/5", route.attempts},
        {"/routes/rows/0/7", route.latency_objective_ms},
        {"/routes/rows/0/8", route.rank},
        {"/services/rows/0/1", table->rows().at("booking").max_connections}};
    cr_expect_eq(values.at(test.cell), test.expected, "%s: %d", name.c_str(),
                 values.at(test.cell));
  }
}

// Guards against 404 for the routes of a configuration that is refused whole
// because of a text of one route, and against one that peers refuse or take for
// another.
Test(configuration_values, texts_of_routes_are_kept) {
  const struct {
    const char* cell;
    std::string value;
  } cases[] = {
      {"/routes/rows/0/0", "the first route"},
      {"/routes/rows/0/0", "r\n1"},
      {"/routes/rows/0/0", "caf\xc3\xa9"},
      {"/routes/rows/0/0", std::string(300, 'r')},
      {"/routes/rows/0/2", "/" + std::string(1023, 'p') + "/"},
      {"/routes/rows/0/2", "/" + std::string(100'000, 'p') + "/"},
      {"/routes/rows/0/2", "/caf\xc3\xa9/"},
      {"/routes/rows/0/2", "/a b/"},
  };
  for (const auto& test : cases) {
    const std::string name = fmt::format("{} {:.20}", test.cell, test.value);
    json configuration = Configuration();
    configuration[json::json_pointer(test.cell)] = test.value;
    Failure reason;
    const auto table = MakeTable(configuration, &reason);
    if (table == nullptr) {
      cr_expect(false, "%s: %s", name.c_str(), reason.ToString().c_str());
      continue;
    }
    const RouteRow& route = table->routes().begin()->second;
    cr_expect(route.name == test.value || route.prefix == test.value, "%s",
              name.c_str());
    const RouteIndex index(table);
    cr_expect(index.Find("book.example", route.prefix + "x") == &route, "%s",
              name.c_str());
    const auto message = MessageCodec::Decode(
        MessageCodec::Encode(TableMessage{table->version(), table->digest(),
                                          table->rows(), table->routes()}),
        &reason);
    if (!message) {
      cr_expect(false, "%s: %s", name.c_str(), reason.ToString().c_str());
      continue;
    }
    const auto& received = std::get<TableMessage>(*message);
    const auto copy = Table::MakeAccepted(received.version, received.rows,
                                          received.routes, &reason);
    cr_expect(copy != nullptr && *copy == *table, "%s: %s", name.c_str(),
              reason.ToString().c_str());
  }
}

// Guards against 404 for all routes of a configuration that is refused whole
// because of the name of one service, and against calls that do not reach it.
Test(configuration_values, services_may_have_other_names) {
  for (const std::string& service :
       {std::string("Booking_1"), std::string("book=1;a.b/c"),
        std::string("caf\xc3\xa9"), std::string("shift booking"),
        std::string(63, 's')}) {
    json configuration = Configuration();
    configuration["services"]["rows"][0][0] = service;
    configuration["routes"]["rows"][0][6] = service;
    Failure reason;
    const auto table = MakeTable(configuration, &reason);
    if (table == nullptr) {
      cr_expect(false, "%s: %s", service.c_str(), reason.ToString().c_str());
      continue;
    }
    CallFixture fixture(1, table->rows().at(service),
                        CallFixture::Addressing::kRoutes);
    ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                          RespondWithRequestId);
    fixture.Publish(table->rows().at(service), table->routes());
    HttpReply reply;
    for (int i = 0; i < 100 && reply.status != 200; ++i) {
      const Socket socket(fixture.Address(0), CallFixture::kCallPort);
      socket.Send(
          "GET /book/x HTTP/1.1\r\nHost: book.example\r\n"
          "x-request-id: 1\r\n\r\n");
      reply = socket.Receive(Milliseconds(1'000));
    }
    cr_expect_eq(reply.status, 200, "%s: %d", service.c_str(), reply.status);
  }
}

// Guards against routes that are in force, but that no call takes.
Test(configuration_values, calls_take_routes_with_unusual_prefixes) {
  const ServiceRow row = Row(ServiceKind::kIdempotent);
  CallFixture fixture(1, row, CallFixture::Addressing::kRoutes);
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        RespondWithRequestId);
  Table::Routes routes;
  for (const std::string& prefix :
       {std::string("/caf\xc3\xa9/"), "/" + std::string(2'000, 'p') + "/"}) {
    const std::string name = "route " + std::to_string(routes.size());
    routes[name] = RouteRow{.name = name,
                            .host = "h",
                            .prefix = prefix,
                            .shares = {{row.service, 1}}};
  }
  fixture.Publish(row, routes);
  for (const auto& [name, route] : routes) {
    HttpReply reply;
    for (int i = 0; i < 100 && reply.status != 200; ++i) {
      const Socket socket(fixture.Address(0), CallFixture::kCallPort);
      socket.Send("GET " + route.prefix +
                  "x HTTP/1.1\r\nHost: h\r\nx-request-id: 1\r\n\r\n");
      reply = socket.Receive(Milliseconds(1'000));
    }
    cr_expect_eq(reply.status, 200, "%.20s: %d", route.prefix.c_str(),
                 reply.status);
  }
  // Prefixes are matched byte by byte.
  const Socket socket(fixture.Address(0), CallFixture::kCallPort);
  socket.Send("GET /caf%C3%A9/x HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_expect_eq(socket.Receive(Milliseconds(1'000)).status, 404);
}

// Guards against different routes with the same digest: a text with spaces
// could be taken for several texts.
Test(configuration_values, texts_with_spaces_change_the_digest) {
  const std::pair<const char*, const char*> texts[] = {
      {"r", "/a/"},
      {"r book.example", "/a/"},
      {"r", "/a/ book.example /a/"},
      {"r \x01", "/a/"},
      {"\x01"
       "1:r",
       "/a/"},
      {"r", "/ /a/"}};
  std::set<uint64_t> digests;
  for (const auto& [route_name, prefix] : texts) {
    json configuration = Configuration();
    configuration["routes"]["rows"][0][0] = route_name;
    configuration["routes"]["rows"][0][2] = prefix;
    Failure reason;
    const auto table = MakeTable(configuration, &reason);
    cr_assert(table != nullptr, "%s", reason.ToString().c_str());
    digests.insert(table->digest());
  }
  cr_expect_eq(digests.size(), std::size(texts));
}

// Guards against a version with a contradiction that is applied: it has no
// meaning that a node could choose.
Test(configuration_values, contradictions_are_refused_whole) {
  json duplicate = Configuration();
  json second = duplicate["routes"]["rows"][0];
  second[0] = "r-2";
  duplicate["routes"]["rows"].push_back(second);
  json unlisted = Configuration();
  unlisted["routes"]["rows"][0][6] = "payroll";
  json no_slash = Configuration();
  no_slash["routes"]["rows"][0][2] = "/book";
  json long_service = Configuration();
  long_service["services"]["rows"][0][0] = std::string(64, 's');
  json control_character = Configuration();
  control_character["services"]["rows"][0][0] = "a\tb";
  for (const auto& [configuration, column] :
       {std::pair(duplicate, "prefix"), std::pair(unlisted, "shares"),
        std::pair(no_slash, "prefix"), std::pair(long_service, "service"),
        std::pair(control_character, "service")}) {
    Failure reason;
    cr_expect(MakeTable(configuration, &reason) == nullptr);
    cr_expect(reason.subject.ends_with(column), "%s",
              reason.ToString().c_str());
  }
}

// Guards against a service whose small weight is rounded to none, and against
// weights without a meaning that are accepted.
Test(configuration_values, weights_are_positive_or_zero) {
  Failure reason;
  const auto table = MakeTableWithWeights(1, 1e-9, &reason);
  cr_assert(table != nullptr, "%s", reason.ToString().c_str());
  cr_expect_gt(table->routes().at("r-1").shares[1].weight, 0);
  const json invalid[] = {-1, -0.5, "1", nullptr, json::array()};
  for (const json& weight : invalid) {
    cr_expect(MakeTableWithWeights(weight, 1, &reason) == nullptr, "%s",
              weight.dump().c_str());
    cr_expect(reason.code == FailureCode::kInvalidTable);
  }
  cr_expect(MakeTableWithWeights(0, 0.0, &reason) == nullptr);
}

}  // namespace dragonflytack::platform
