#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "distribution/delta_history.h"
#include "distribution/message_codec.h"
#include "dragonflytack/accounts/account_index.h"
#include "dragonflytack/table/table.h"
#include "dragonflytack/table/table_delta.h"
#include "dragonflytack/table/table_document.h"
#include "platform/configuration.h"

namespace dragonflytack {

namespace {

KeyDigest Key(const std::string& text) {
  return *KeyDigest::OfKey(text);
}

AccountRow Account(const std::string& name, std::vector<KeyDigest> keys) {
  AccountRow row;
  row.account = name;
  row.keys = std::move(keys);
  row.rank = 2;
  row.rate_limit = 300;
  row.burst = 20;
  return row;
}

Table::Accounts Accounts(const std::vector<AccountRow>& rows) {
  Table::Accounts accounts;
  for (const AccountRow& row : rows) {
    accounts[row.account] = row;
  }
  return accounts;
}

std::shared_ptr<const Table> MakeTable(TableVersion version,
                                       Table::Accounts accounts) {
  Failure reason;
  auto table = Table::Make(version, {}, {}, std::move(accounts), &reason);
  cr_assert(table != nullptr, "%s", reason.ToString().c_str());
  return table;
}

nlohmann::json Configuration(nlohmann::json accounts) {
  return {
      {"version", "00000001"},
      {"services",
       {{"columns", {"name", "max_connections"}},
        {"rows", nlohmann::json::array({{"payments", 10}})}}},
      {"routes",
       {{"columns",
         {"name", "host", "path_prefix", "kind", "timeout", "attempts",
          "service", "public"}},
        {"rows", nlohmann::json::array({{"open", "a.example", "/", "upload",
                                         "1s", 2, "payments", true},
                                        {"closed", "b.example", "/", "safe",
                                         "1s", 2, "payments", false}})}}},
      {"tenants",
       {{"columns", {"name", "api_keys", "priority", "rate_per_s", "burst"}},
        {"rows", std::move(accounts)}}}};
}

}  // namespace

// Guards against a key that is accepted for another account, or an unknown one
// that is accepted at all.
Test(accounts, a_key_identifies_its_account_only) {
  const AccountIndex index(
      MakeTable(1, Accounts({Account("a", {Key("k1"), Key("k2")}),
                             Account("b", {}), Account("c", {Key("k3")})})));
  cr_assert_eq(index.key_count(), 3);
  cr_assert_eq(index.Find(Key("k1"))->account, "a");
  cr_assert_eq(index.Find(Key("k2"))->account, "a");
  cr_assert_eq(index.Find(Key("k3"))->account, "c");
  cr_assert_null(index.Find(Key("k4")));
  cr_assert_not(KeyDigest::OfKey(""));
  cr_assert_not(KeyDigest::OfKey(std::string(513, 'k')));
  cr_assert(KeyDigest::Parse(Key("k1").ToText()) == Key("k1"));
  cr_assert_not(KeyDigest::Parse("k1"));
}

// Guards against a version in which one key belongs to two accounts, so that
// the account of a call would depend on the order of the rows.
Test(accounts, a_key_of_two_accounts_is_refused_with_the_cell) {
  const struct {
    std::vector<AccountRow> rows;
    const char* subject;
  } cases[] = {
      {{Account("a", {Key("k")}), Account("b", {Key("k")})}, "account b/keys"},
      {{Account("a", {Key("k"), Key("k")})}, "account a/keys"},
      {{Account("", {Key("k")})}, "account /account"},
  };
  for (const auto& test : cases) {
    Failure reason;
    cr_expect_null(Table::Make(1, {}, {}, Accounts(test.rows), &reason).get());
    cr_expect_eq(reason.subject, test.subject, "%s", reason.subject.c_str());
  }
}

// Guards against a revoked key that stays valid at a node which gets the
// version as a difference, and against messages that lose accounts.
Test(accounts, deltas_and_messages_carry_accounts) {
  const auto from = MakeTable(
      1, Accounts({Account("a", {Key("k1"), Key("k2")}), Account("b", {})}));
  const auto to =
      MakeTable(2, Accounts({Account("a", {Key("k1")}), Account("c", {})}));
  const TableDelta delta = TableDelta::Between(*from, *to);
  Failure reason;
  const auto decoded =
      MessageCodec::Decode(MessageCodec::Encode(DeltaMessage{delta}), &reason);
  cr_assert(decoded && std::get<DeltaMessage>(*decoded).delta == delta, "%s",
            reason.ToString().c_str());
  const auto applied = delta.ApplyTo(*from, &reason);
  cr_assert(applied != nullptr && *applied == *to, "%s",
            reason.ToString().c_str());
  cr_assert_null(AccountIndex(applied).Find(Key("k2")));
  const TableMessage whole{to->version(), to->digest(), to->rows(),
                           to->routes(), to->accounts()};
  const auto table = MessageCodec::Decode(MessageCodec::Encode(whole), &reason);
  cr_assert(table && std::get<TableMessage>(*table) == whole);
  TableDocument document;
  document.accounts = to->accounts();
  const auto parsed = TableDocument::Parse(document.ToJson(), &reason);
  cr_assert(parsed && *parsed == document, "%s", reason.ToString().c_str());
}

// Guards against accounts that are missing in the difference between versions
// that are not consecutive, or between any two on a link: nodes then refuse it
// and fetch the whole table for each edit.
Test(accounts, merged_deltas_include_accounts) {
  const std::vector<std::shared_ptr<const Table>> versions = {
      MakeTable(1, Accounts({Account("a", {Key("k1")}), Account("b", {})})),
      MakeTable(2, Accounts({Account("a", {Key("k2")}), Account("b", {}),
                             Account("c", {Key("k1")})})),
      MakeTable(3, Accounts({Account("a", {Key("k2")}), Account("c", {})})),
      MakeTable(5, Accounts({Account("a", {}), Account("b", {Key("k2")})})),
      MakeTable(6, {}),
  };
  DeltaHistory history;
  for (const auto& version : versions) {
    history.Append(version);
    for (const auto& base : versions) {
      Failure reason;
      const auto delta = history.DeltaFrom(base->version());
      const auto result = delta ? delta->ApplyTo(*base, &reason) : version;
      cr_assert(result != nullptr, "%s", reason.ToString().c_str());
      cr_assert(*result == *version);
    }
  }
}

// Guards against a whole configuration that is kept out of force because of its
// accounts or the kind "upload", and against routes that lose the public flag.
Test(accounts, configuration_of_the_platform_has_accounts_and_public_routes) {
  Failure reason;
  const auto document = platform::ReadConfiguration(
      Configuration(nlohmann::json::array(
          {{"a", {"k1", "k2"}, 1, 2.5, nullptr}, {"b", nullptr, 0, 0, 0}})),
      &reason);
  cr_assert(document.has_value(), "%s", reason.ToString().c_str());
  const AccountRow& a = document->accounts.at("a");
  cr_assert(a.keys == std::vector<KeyDigest>({Key("k1"), Key("k2")}));
  cr_assert_eq(a.rank, 1);
  cr_assert_eq(a.rate_limit, 3);
  cr_assert_eq(a.burst, 0);
  cr_assert(document->accounts.at("b").keys.empty());
  cr_assert(document->routes.at("open").is_public);
  cr_assert(document->routes.at("open").kind == ServiceKind::kOneTime);
  cr_assert_not(document->routes.at("closed").is_public);
  const std::pair<nlohmann::json, const char*> invalid[] = {
      {{{"a", {"k1"}, 0, 0, 0}, {"a", {"k2"}, 0, 0, 0}}, "account a/name"},
      {nlohmann::json::array({{"a", {""}, 0, 0, 0}}), "account a/api_keys"},
      {nlohmann::json::array({{"a", "k1", 0, 0, 0}}), "account a/api_keys"},
      {nlohmann::json::array({{"a", {"k1"}, 0, -1, 0}}),
       "account a/rate_per_s"},
      {nlohmann::json::array({{nullptr, {"k1"}, 0, 0, 0}}),
       "account without a name/name"},
  };
  for (const auto& [accounts, subject] : invalid) {
    cr_expect_not(
        platform::ReadConfiguration(Configuration(accounts), &reason));
    cr_expect_eq(reason.subject, subject, "%s", reason.subject.c_str());
  }
}

// Guards against lookups that miss keys, or find keys that are not there, in an
// index of many keys, and against a message that cannot carry them.
Test(accounts, ten_thousand_keys_are_all_found) {
  constexpr int kAccounts = 500;
  constexpr int kKeysOfEach = 20;
  std::vector<AccountRow> rows;
  for (int i = 0; i < kAccounts; ++i) {
    std::vector<KeyDigest> keys;
    for (int k = 0; k < kKeysOfEach; ++k) {
      keys.push_back(Key(fmt::format("key {} of {}", k, i)));
    }
    rows.push_back(Account(fmt::format("account {}", i), std::move(keys)));
  }
  const auto made = MakeTable(1, Accounts(rows));
  const TableMessage whole{made->version(), made->digest(), made->rows(),
                           made->routes(), made->accounts()};
  Failure reason;
  const auto message =
      MessageCodec::Decode(MessageCodec::Encode(whole), &reason);
  cr_assert(message.has_value(), "%s", reason.ToString().c_str());
  const AccountIndex index(
      MakeTable(1, std::get<TableMessage>(*message).accounts));
  cr_assert_eq(index.account_count(), kAccounts);
  cr_assert_eq(index.key_count(), kAccounts * kKeysOfEach);
  for (int i = 0; i < kAccounts; ++i) {
    for (int k = 0; k < kKeysOfEach; ++k) {
      const AccountRow* account =
          index.Find(Key(fmt::format("key {} of {}", k, i)));
      cr_assert(account != nullptr &&
                    account->account == fmt::format("account {}", i),
                "key %d of %d", k, i);
      cr_assert_null(index.Find(Key(fmt::format("key {} of {}", i, k + 500))));
    }
  }
}

// Guards against an odd cell that ends the process, that costs more than its
// version, or whose failure does not name the cell or is as long as the cell.
Test(accounts, odd_entries_refuse_only_their_version) {
  using nlohmann::json;
  const std::string long_text(1'000'000, 'x');
  json nested = json::array();
  for (int i = 0; i < 100; ++i) {
    nested = json::array({nested});
  }
  json twice = json::array({"k1", "k1"});
  const struct {
    json row;
    const char* subject;
  } odd[] = {
      {{"a", {7}, 0, 0, 0}, "account a/api_keys"},
      {{"a", {1e300}, 0, 0, 0}, "account a/api_keys"},
      {{"a", {nullptr}, 0, 0, 0}, "account a/api_keys"},
      {{"a", {true}, 0, 0, 0}, "account a/api_keys"},
      {{"a", nested, 0, 0, 0}, "account a/api_keys"},
      {{"a", {long_text}, 0, 0, 0}, "account a/api_keys"},
      {{"a", long_text, 0, 0, 0}, "account a/api_keys"},
      {{"a", json::object(), 0, 0, 0}, "account a/api_keys"},
      {{"a", twice, 0, 0, 0}, "account a/keys"},
      {{"a", {"k1"}, 0, nested, 0}, "account a/rate_per_s"},
      {{"a", {"k1"}, 0, 0, "many"}, "account a/burst"},
      {{nested, {"k1"}, 0, 0, 0}, "account without a name/name"},
      {{"", {"k1"}, 0, 0, 0}, "account /account"},
      {{"a\nb", {"k1"}, 0, 0, 0}, "account a\nb/account"},
      {{long_text, {"k1"}, 0, 0, 0}, "/account"},
      {{long_text, {7}, 0, 0, 0}, "/api_keys"},
  };
  const auto read = [](json row, Failure* reason) {
    const auto document = platform::ReadConfiguration(
        Configuration(json::array({std::move(row), {"b", {"k9"}, 0, 0, 0}})),
        reason);
    return document ? Table::MakeAccepted(1, document->rows, document->routes,
                                          document->accounts, reason)
                    : nullptr;
  };
  for (const auto& test : odd) {
    Failure reason;
    cr_expect_null(read(test.row, &reason).get(), "%s", test.subject);
    cr_expect(reason.subject.starts_with("account ") &&
                  reason.subject.ends_with(test.subject) &&
                  reason.ToString().size() < 1'000,
              "%s: %.200s", test.subject, reason.ToString().c_str());
  }
  Failure reason;
  const json usual[] = {{"a", {"k1"}, 0, 0, 0},
                        {"a", nullptr, nested, nullptr, nullptr},
                        {"a", {"k1"}, -5, 1e300, 1e300}};
  for (const json& row : usual) {
    cr_expect(read(row, &reason) != nullptr, "%s: %s", row.dump().c_str(),
              reason.ToString().c_str());
  }
}

}  // namespace dragonflytack
