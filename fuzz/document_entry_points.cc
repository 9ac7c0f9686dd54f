#include <cstdio>
#include <fstream>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <unistd.h>
#include <nlohmann/json.hpp>

#include "daemon/announcement.h"
#include "distribution/seed_list.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/table/table_document.h"
#include "fuzz/entry_point.h"
#include "fuzz/round_trip.h"
#include "net/record_json.h"
#include "store/history_archive.h"
#include "store/store_protocol.h"
#include "table/table_csv.h"

// Entry points for whole documents: store objects, tables as CSV, settings,
// announcements.
namespace dragonflytack {

namespace {

TableDocument SmallDocument() {
  ServiceRow row{.service = "payroll", .kind = ServiceKind::kOneTime};
  row.weights = {{"north", 3}, {"south", 0}};
  row.rate_limit = 9;
  TableDocument document;
  document.rows = {{"payroll", row},
                   {"roster", ServiceRow{.service = "roster"}}};
  document.recent = {{std::string(32, 'a'),
                      "op\"erator",
                      1'700'000'000'000,
                      {{"payroll", "slots", "12", "13"}}}};
  return document;
}

// SmallDocument() with a public route, accounts and an edit of an account.
TableDocument DocumentWithAccounts() {
  TableDocument document = SmallDocument();
  RouteRow& route = document.routes["r"];
  route.name = "r";
  route.host = "h.example";
  route.prefix = "/";
  route.shares = {{"roster", 1}};
  route.is_public = true;
  const KeyDigest key = *KeyDigest::OfKey("1");
  document.accounts["a"] = {"a", {key, *KeyDigest::OfKey("2")}, 3, 300, 20};
  document.accounts["b"] = {"b"};
  document.recent.front().cells.push_back(
      {"a", "keys", "", key.ToText(), Sheet::kAccounts});
  return document;
}

std::vector<std::string> TableSeeds() {
  return {SmallDocument().ToJson(), TableDocument{}.ToJson(),
          DocumentWithAccounts().ToJson()};
}

std::string CheckTable(const std::string& input) {
  return CheckRoundTrip(
      input, IsOneOf<FailureCode::kInvalidTable, FailureCode::kTooLarge>,
      TableDocument::Parse,
      [](const TableDocument& document) { return document.ToJson(); });
}

std::vector<std::string> HistorySeeds() {
  return {HistoryArchive{SmallDocument().recent}.ToJson(),
          HistoryArchive{DocumentWithAccounts().recent}.ToJson()};
}

std::string CheckHistory(const std::string& input) {
  return CheckRoundTrip(
      input, IsOneOf<FailureCode::kInvalidTable>,
      [](const std::string& text, Failure* reason) {
        std::optional<HistoryArchive> archive =
            HistoryArchive::Parse(text, reason);
        return archive ? std::optional(std::move(archive->edits))
                       : std::nullopt;
      },
      [](const std::vector<EditRecord>& edits) {
        return HistoryArchive{edits}.ToJson();
      });
}

std::vector<std::string> CsvSeeds() {
  return {FormatCsv(SmallDocument().rows),
          "\xEF\xBB\xBFkind,service,weights\n"
          "one_time,\"till\",\"north=5;south=0\"\n\nidempotent,tracker,\n"};
}

std::string CheckCsv(const std::string& input) {
  return CheckRoundTrip(
      input, IsOneOf<FailureCode::kInvalidCsv, FailureCode::kTooLarge>,
      ParseCsv<ServiceRow>, FormatCsv<ServiceRow>);
}

std::vector<std::string> AccountCsvSeeds() {
  return {FormatCsv(DocumentWithAccounts().accounts),
          "keys,account\nkey:1;key:2,\"a, b\"\n,c\n"};
}

std::string CheckAccountCsv(const std::string& input) {
  return CheckRoundTrip(
      input, IsOneOf<FailureCode::kInvalidCsv, FailureCode::kTooLarge>,
      ParseCsv<AccountRow>, FormatCsv<AccountRow>);
}

std::vector<std::string> SeedListSeeds() {
  SeedList list;
  list.data_centres["north1"] = {"north", {{"127.0.0.1", 80}, {"::1", 65535}}};
  list.data_centres["south1"] = {"south", {}};
  return {list.ToJson(), SeedList{}.ToJson()};
}

std::string CheckSeedList(const std::string& input) {
  return CheckRoundTrip(
      input, IsOneOf<FailureCode::kInvalidMessage, FailureCode::kTooLarge>,
      SeedList::Parse, [](const SeedList& list) { return list.ToJson(); });
}

std::string EncodeObjects(const std::vector<StoreObject>& objects) {
  std::string body;
  for (const StoreObject& object : objects) {
    body += StoreProtocol::EncodeObject(object);
  }
  return body;
}

std::vector<std::string> StoreListSeeds() {
  return {EncodeObjects({{"history/1", "{\"edits\":[]}\n", 17},
                         {"claims/ff", "", UINT64_MAX}}),
          ""};
}

std::string CheckStoreList(const std::string& input) {
  return CheckRoundTrip(
      input, AcceptAnyCode,
      [](const std::string& text, Failure*) {
        return StoreProtocol::DecodeObjects(text);
      },
      EncodeObjects);
}

std::optional<Settings> LoadSettings(const std::string& text, Failure* reason) {
  char path[] = "/tmp/dragonflytack-fuzz-XXXXXX";
  const int file = mkstemp(path);
  if (file < 0) {
    *reason = {FailureCode::kInternal, path, "cannot create a temporary file"};
    return std::nullopt;
  }
  close(file);
  std::ofstream(path) << text;
  std::optional<Settings> settings = Settings::Load(path, reason);
  std::remove(path);
  return settings;
}

std::string FormatSettings(const Settings& settings) {
  static constexpr const char* kLevels[] = {"debug", "info", "warning",
                                            "error"};
  std::string text = fmt::format(
      "[node]\nid = {}\nregion = {}\ndata_centre = {}\naddress = {}\n"
      "call_port = {}\nmesh_port = {}\npeer_port = {}\nadmin_port = {}\n"
      "[store]\naddress = {}\nport = {}\nregion = {}\ntimeout_ms = {}\n"
      "watch_on_every_node = {}\n[trace]\nsample = {}\n[log]\nlevel = {}\n"
      "[calls]\ndrain_timeout_ms = {}\n",
      settings.node_id, settings.region, settings.data_centre, settings.address,
      settings.call_port, settings.mesh_port, settings.peer_port,
      settings.admin_port, settings.store.address, settings.store.port,
      settings.store_region, settings.store_timeout_ms,
      settings.watch_on_every_node, settings.trace_sample,
      kLevels[static_cast<size_t>(settings.log_level)],
      settings.drain_timeout_ms);
  if (!settings.seeds.empty()) {
    text += "[peers]\nseeds = ";
    for (const HostPort& seed : settings.seeds) {
      text += &seed == &settings.seeds.front() ? "" : ",";
      text += seed.ToString();
    }
    text += "\n";
  }
  if (!settings.shared_key.empty()) {
    text += "[security]\nshared_key = " + settings.shared_key + "\n";
  }
  if (settings.trace_collector) {
    text += "[trace]\ncollector = " + settings.trace_collector->ToString();
  }
  return text;
}

std::vector<std::string> SettingsSeeds() {
  Settings settings;
  settings.node_id = "n-1.a";
  settings.region = "north";
  settings.data_centre = "north-1";
  settings.address = "127.0.0.5";
  settings.call_port = 7001;
  settings.mesh_port = 7002;
  settings.peer_port = 7003;
  settings.admin_port = 7004;
  settings.store = {"127.0.0.1", 7100};
  settings.store_region = "south";
  const std::string plain = FormatSettings(settings);
  settings.seeds = {{"127.0.0.1", 1}, {"::1", 65535}};
  settings.shared_key = "0123456789abcdef";
  settings.trace_collector = HostPort{"127.0.0.1", 4318};
  return {plain, FormatSettings(settings)};
}

std::string CheckSettings(const std::string& input) {
  Failure reason;
  if (const auto settings = LoadSettings(input, &reason)) {
    for (const std::string& text :
         {settings->address, settings->store.address}) {
      if (text.find_first_not_of("0123456789abcdefABCDEF.:") !=
          std::string::npos) {
        return "an address is not a numeric IP address";
      }
    }
  }
  return CheckRoundTrip(
      input, IsOneOf<FailureCode::kInvalidSetting, FailureCode::kTooLarge>,
      LoadSettings, FormatSettings);
}

std::optional<LocalTarget> DecodeAnnouncement(const std::string& text,
                                              Failure* reason) {
  return ParseAnnouncement(text, "127.0.0.1", "192.0.2.7", reason);
}

std::string EncodeAnnouncement(const LocalTarget& target) {
  return nlohmann::json{{"service", target.service},
                        {"address", target.address},
                        {"port", target.port},
                        {"state", TargetStateName(target.state)},
                        {"slots", target.slots}}
      .dump();
}

std::vector<std::string> AnnouncementSeeds() {
  return {
      EncodeAnnouncement({"a-1", "192.0.2.7", 80, TargetState::kWarming, 3}),
      EncodeAnnouncement({"a", "127.0.0.9", 1, TargetState::kLeft, 0}),
      R"({"service":"a","port":1,"state":"ready"})"};
}

std::string CheckAnnouncement(const std::string& input) {
  Failure reason;
  const auto target = DecodeAnnouncement(input, &reason);
  if (target && target->address.find_first_not_of("0123456789abcdefABCDEF.:") !=
                    std::string::npos) {
    return "the address is not a numeric IP address";
  }
  return CheckRoundTrip(input, IsOneOf<FailureCode::kInvalidArgument>,
                        DecodeAnnouncement, EncodeAnnouncement);
}

}  // namespace

std::vector<EntryPoint> DocumentEntryPoints() {
  return {{"table", TableSeeds, CheckTable},
          {"history", HistorySeeds, CheckHistory},
          {"csv", CsvSeeds, CheckCsv},
          {"csv_accounts", AccountCsvSeeds, CheckAccountCsv},
          {"seed_list", SeedListSeeds, CheckSeedList},
          {"store_list", StoreListSeeds, CheckStoreList},
          {"settings", SettingsSeeds, CheckSettings},
          {"announcement", AnnouncementSeeds, CheckAnnouncement}};
}

}  // namespace dragonflytack
