// The sheet of client accounts in the command-line tool.

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/table/key_digest.h"
#include "table/column.h"
#include "tool_fixture.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

std::string DigestOf(const std::string& key) {
  return KeyDigest::OfKey(key)->ToText();
}

struct Case {
  std::vector<std::string> arguments;
  int code;
  std::string text;
};

// Runs commands, none of which may print a text that contains "secret".
void RunCases(ToolFixture* fixture, const std::vector<Case>& cases) {
  for (const Case& item : cases) {
    const int code = fixture->Run(item.arguments);
    cr_expect(code == item.code && fixture->OutputContains(item.text),
              "%s: %d\n%s%s", item.text.c_str(), code, fixture->out.c_str(),
              fixture->err.c_str());
    cr_expect(!fixture->OutputContains("secret"), "%s\n%s%s", item.text.c_str(),
              fixture->out.c_str(), fixture->err.c_str());
  }
}

}  // namespace

// Guards against column defaults that differ from those of AccountRow.
Test(account_tool, column_defaults_are_those_of_the_row) {
  for (const AccountColumn& column : Columns<AccountRow>()) {
    if (column.default_text) {
      cr_assert(column.format_text(column, AccountRow{}) ==
                *column.default_text);
    }
  }
}

// Guards against verbs that do not support the sheet of accounts, and against
// an edit that is recorded with a key instead of its digest.
Test(account_tool, accounts_are_edited_like_services) {
  ToolFixture fixture;
  const std::string one = DigestOf("secret-1");
  const std::string two = DigestOf("secret-2");
  RunCases(
      &fixture,
      {
          {{"set", "--help"}, 0, "Columns of client accounts (--accounts):"},
          {{"add", "--help"}, 0, "rate_limit"},
          {{"add", "acme", "keys=key:secret-1", "rank=2", "--accounts"},
           0,
           "account acme, keys: \"\" -> \"" + one + "\""},
          {{"add", "acme", "--accounts"}, 3, "already"},
          {{"add", "beta", "keys=key:secret-1", "--accounts"},
           1,
           "account beta/keys: the key " + one +
               " is also one of the account \"acme\""},
          {{"add", "beta", "--accounts", "--json"}, 0, "\"account\": \"beta\""},
          {{"set", "acme", "keys", "key:secret-1;key:secret-2", "--accounts"},
           0,
           one + ";" + two},
          {{"set", "acme", "keys", two, "--accounts", "--expect",
            "key:secret-9"},
           3,
           "account acme, column keys: expected \"" + DigestOf("secret-9") +
               "\", found \"" + one + ";" + two + "\""},
          {{"set", "acme", "keys", two, "--accounts", "--expect",
            "key:secret-1;key:secret-2"},
           0,
           "\"" + one + ";" + two + "\" -> \"" + two + "\""},
          {{"set", "acme", "rank", "1001", "--accounts"},
           2,
           "account acme/rank: 1001 is not in 0-1000"},
          {{"set", "acme", "slots", "2", "--accounts"},
           2,
           "the columns are account, keys"},
          {{"set", "other", "rank", "2", "--accounts"},
           1,
           "row of this account"},
          {{"show", "--accounts"}, 0, two},
          {{"show", "acme", "--accounts"}, 0, "digests of its API keys"},
          {{"show", "acme"}, 1, "no row"},
          {{"export", "--accounts"},
           0,
           "acme," + two + ",2,0,0\r\nbeta,,0,0,0"},
          {{"export"}, 0, "roster,idempotent"},
          {{"remove", "beta", "--accounts"}, 0, "account beta, account"},
          {{"history", "acme"}, 0, "account acme  keys"},
          {{"history", "--json"}, 0, one},
          {{"show", "--accounts", "--routes"}, 2, "exclude each other"},
      });
  cr_expect(fixture.store.Get("table")->value.find("secret") ==
            std::string::npos);
}

// Guards against an import or a diff of accounts that misses cells.
Test(account_tool, import_export_and_diff_agree) {
  ToolFixture fixture;
  const std::string path = MakeTemporaryFile();
  std::ofstream(path) << "account,rate_limit,keys\n"
                         "acme,300,key:secret-1;key:secret-2\n"
                         "\"beta, inc\",,\n";
  RunCases(&fixture, {{{"diff", path, "--accounts"}, 0, DigestOf("secret-2")},
                      {{"import", path, "--accounts"}, 0, "version 2"},
                      {{"diff", path, "--accounts"}, 0, "no difference"},
                      {{"import", path, "--accounts"}, 0, "nothing to change"},
                      {{"show"}, 0, "roster"}});
  cr_assert_eq(fixture.Run({"export", "--accounts"}), 0);
  std::ofstream(path) << fixture.out;
  RunCases(&fixture, {{{"diff", path, "--accounts"}, 0, "no difference"}});
  std::remove(path.c_str());
}

// Guards against an API key in an error message, wherever an operator enters
// one by mistake. The message has to name the account and the column.
Test(account_tool, no_error_message_contains_a_key) {
  ToolFixture fixture;
  cr_assert_eq(fixture.Run({"add", "acme", "--accounts"}), 0);
  const std::string too_long = "key:secret" + std::string(600, 'x');
  RunCases(
      &fixture,
      {
          {{"set", "acme", "keys", "secret-1", "--accounts"},
           2,
           "account acme/keys: the text is invalid"},
          {{"set", "acme", "keys", too_long, "--accounts"},
           2,
           "account acme/keys"},
          {{"set", "acme", "keys", "key:secret-1;", "--accounts"},
           2,
           "account acme/keys"},
          {{"set", "acme", "rank", "key:secret-1", "--accounts"},
           2,
           "account acme/rank: the text is invalid"},
          {{"set", "acme", "keys", "", "--expect", "secret-1", "--accounts"},
           2,
           "account acme/keys: the expected value"},
          {{"set", "acme", "keys", "key:a", "key:secret-1", "--accounts"},
           2,
           "unexpected argument 4"},
          {{"set", "key:secret-1", "keys", "key:a", "--accounts"}, 1, "no row"},
          {{"show", "key:secret-1", "--accounts"}, 1, "no row"},
          {{"add", "b", "keys=secret-1", "--accounts"}, 2, "account b/keys"},
          {{"add", "b", "key:secret-1", "--accounts"}, 2, "argument 2"},
          {{"add", "b", "keys=key:a", "keys=key:secret-1", "--accounts"},
           2,
           "keys: it is not"},
          {{"add", "key:secret-1", "--accounts"},
           2,
           "account without a valid name/account"},
          {{"set", "acme", "--keys=key:secret-1", "--accounts"}, 2, "--keys'"},
      });
  const std::string path = MakeTemporaryFile();
  const std::pair<const char*, const char*> files[] = {
      {"account,keys\nacme,secret-1\n", "line 2, account acme/keys"},
      {"keys,account\nsecret-1,acme\n", "line 2, account acme/keys"},
      {"account,keys\nacme,\"a\nsecret-1\"\n", "line 2, account acme/keys"},
      {"account,keys,rank\nacme,key:a,key:secret-1\n",
       "line 2, account acme/rank"},
      {"account,keys\nkey:secret-1,acme\n", "line 2, column account"},
      {"acme,secret-1\n", "the name in field 1"},
      {"account,secret-1\n", "the name in field 2"},
  };
  for (const auto& [text, expected] : files) {
    std::ofstream(path) << text;
    RunCases(&fixture, {{{"import", path, "--accounts"}, 1, expected},
                        {{"diff", path, "--accounts"}, 1, expected}});
  }
  std::remove(path.c_str());
}

// Guards against a status without the numbers of accounts, and against an
// explanation that differs from what an entry node does with the call.
Test(account_tool, status_and_explain_show_accounts) {
  ToolFixture fixture;
  fixture.node.responses["/status"].update(
      {{"accounts", 2}, {"account_keys", 3}});
  const auto route = [](const char* name, int rank, bool is_public) {
    return json{{"name", name},
                {"host", std::string(name) + ".example"},
                {"kind", "idempotent"},
                {"rank", rank},
                {"public", is_public},
                {"shares", {{{"service", "roster"}, {"weight", 1}}}}};
  };
  fixture.node.responses["/table"] = {
      {"version", 9},
      {"rows", {{{"service", "roster"}, {"kind", "idempotent"}}}},
      {"routes", {route("shop", 3, false), route("open", 2, true)}},
      {"accounts",
       {{{"account", "acme"},
         {"rank", 5},
         {"keys", {DigestOf("secret-1"), DigestOf("secret-2")}}},
        {{"account", "idle"}}}}};
  RunCases(
      &fixture,
      {
          {{"status"}, 0, "2 client accounts with 3 API keys"},
          {{"status", "--json"}, 0, "\"account_keys\": 3"},
          {{"explain", "shop.example/x"},
           0,
           "2 client accounts with 2 API keys; calls of the route need a key"},
          {{"explain", "shop.example/x", "--key", "secret-2"},
           0,
           "account acme, rank 23 (account 5, route 3)"},
          {{"explain", "shop.example/x", "--account", "acme", "--json"},
           0,
           "\"rank\": 23"},
          {{"explain", "shop.example/x", "--key", "secret-9"},
           0,
           "401 unknown_key: no account holds the key " + DigestOf("secret-9")},
          {{"explain", "shop.example/x", "--account", "idle"},
           0,
           "the account has no key"},
          {{"explain", "shop.example/x", "--account", "other"},
           1,
           "version 9 has no account of this name"},
          {{"explain", "open.example/x", "--key", "secret-9"},
           0,
           "the route is public, its calls need no key\nrank 2 (account 0"},
          {{"explain", "roster", "--key", "secret-1"}, 2, "with HOST/PATH"},
          {{"explain", "shop.example/x", "--key", "secret-1", "--account", "a"},
           2,
           "one of them"},
      });
  fixture.node.responses["/table"].erase("accounts");
  cr_assert_eq(fixture.Run({"explain", "shop.example/x"}), 0);
  cr_expect(!fixture.OutputContains("accounts"), "%s", fixture.out.c_str());
}

}  // namespace dragonflytack
