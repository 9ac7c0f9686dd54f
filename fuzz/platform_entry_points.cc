#include <optional>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "dragonflytack/table/table.h"
#include "dragonflytack/table/table_document.h"
#include "fuzz/entry_point.h"
#include "fuzz/round_trip.h"
#include "platform/configuration.h"

// Entry points for the documents of the users' platform.
namespace dragonflytack {

namespace {

using nlohmann::json;

constexpr char kSheets[] =
    R"("version":"0000000a","services":{"columns":["name","max_connections"],)"
    R"("rows":[["payments",10],["roster",null]]},"routes":{"columns":["name",)"
    R"("host","path_prefix","kind","timeout","attempts","service",)"
    R"("traffic_split","public","priority"],"rows":[["r1","a.example","/",)"
    R"("upload","1s",2,"payments",null,true,1],["r2","b.example","/b/","safe",)"
    R"("250ms",2,null,[{"service":"roster","weight":1.5}],false,0]]})";
constexpr char kAccounts[] =
    R"(,"tenants":{"columns":["name","api_keys","priority","rate_per_s",)"
    R"("burst"],"rows":[["a",["k1","k2"],1,2.5,3],["b",null,0,null,null]]})";

std::vector<std::string> ConfigurationSeeds() {
  return {fmt::format("{{{}}}", kSheets),
          fmt::format("{{{}{}}}", kSheets, kAccounts)};
}

// A configuration that is accepted gives a table, whose content must survive
// the form in which the project stores it, or a failure with a documented code.
std::string CheckConfiguration(const std::string& input) {
  const json spec = json::parse(input, nullptr, false);
  if (spec.is_discarded()) {
    return {};
  }
  Failure reason;
  const std::optional<TableDocument> document =
      platform::ReadConfiguration(spec, &reason);
  if (!document) {
    return reason.code == FailureCode::kInvalidTable ? ""
                                                     : "refused without a code";
  }
  const auto table = Table::MakeAccepted(1, document->rows, document->routes,
                                         document->accounts, &reason);
  if (table == nullptr) {
    return reason.code == FailureCode::kInvalidTable && !reason.subject.empty()
               ? ""
               : "refused without a code or a cell";
  }
  ++DecodedValues();
  const auto again = TableDocument::Parse(document->ToJson(), &reason);
  return again && again->accounts == table->accounts()
             ? ""
             : "the accounts changed on the round trip";
}

}  // namespace

std::vector<EntryPoint> PlatformEntryPoints() {
  return {{"platform_configuration", ConfigurationSeeds, CheckConfiguration}};
}

}  // namespace dragonflytack
