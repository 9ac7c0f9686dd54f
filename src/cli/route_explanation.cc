#include "cli/route_explanation.h"

#include <memory>
#include <ostream>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/admin_fetcher.h"
#include "cli/fleet.h"
#include "cli/text_table.h"
#include "cli/tool_context.h"
#include "dragonflytack/accounts/account_index.h"
#include "dragonflytack/accounts/call_rank.h"
#include "dragonflytack/routing/route_index.h"
#include "dragonflytack/table/table.h"
#include "table/column.h"
#include "table/table_json.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

// Parses the table in force from the response to GET /table.
std::shared_ptr<const Table> ParseTable(const json& response, Failure* reason) {
  std::optional<Table::Rows> rows =
      RowsFromJson<ServiceRow>(MemberOrSelf(response, "rows"), reason);
  std::optional<Table::Routes> routes =
      RowsFromJson<RouteRow>(MemberOrSelf(response, "routes"), reason);
  std::optional<Table::Accounts> accounts = Table::Accounts();
  if (response.is_object() && response.contains("accounts")) {
    accounts = RowsFromJson<AccountRow>(response["accounts"], reason);
  }
  if (!rows || !routes || !accounts) {
    return nullptr;
  }
  return Table::MakeAccepted(
      static_cast<TableVersion>(NumberMember(response, "version")),
      *std::move(rows), *std::move(routes), *std::move(accounts), reason);
}

size_t CountKeys(const Table& table) {
  size_t keys = 0;
  for (const auto& [name, account] : table.accounts()) {
    keys += account.keys.size();
  }
  return keys;
}

// What the accounts of the table mean for a call.
struct AccountView {
  // The account that the caller stands for; null without one.
  const AccountRow* account = nullptr;
  // Why calls of the caller are refused; empty if they are not.
  std::string refusal;
};

std::optional<AccountView> FindAccount(
    const CallerOption& caller,
    const RouteRow& route,
    const std::shared_ptr<const Table>& table,
    Failure* reason) {
  AccountView view;
  if (caller.account) {
    const auto found = table->accounts().find(*caller.account);
    if (found == table->accounts().end()) {
      *reason =
          Failure{FailureCode::kNotFound,
                  std::string(SubjectName(Sheet::kAccounts, *caller.account)),
                  fmt::format("version {} has no account of this name",
                              table->version())};
      return std::nullopt;
    }
    view.account = &found->second;
    if (view.account->keys.empty() && !route.is_public) {
      view.refusal = "401 unknown_key: the account has no key";
    }
  } else if (caller.key && !table->accounts().empty()) {
    const std::optional<KeyDigest> key = KeyDigest::OfKey(*caller.key);
    const AccountRow* const holder =
        key ? AccountIndex(table).Find(*key) : nullptr;
    // The row belongs to the table, which outlives the index.
    view.account = holder;
    if (holder == nullptr && !route.is_public) {
      view.refusal =
          key ? fmt::format("401 unknown_key: no account holds the key {}",
                            key->ToText())
              : "401 unknown_key: the call has no valid API key";
    }
  }
  return view;
}

// Returns a description of the accounts and of the rank of a call, empty
// without accounts.
std::string DescribeAccounts(const AccountView& view,
                             const RouteRow& route,
                             const Table& table) {
  if (table.accounts().empty()) {
    return {};
  }
  std::string text =
      fmt::format("\n{} client accounts with {} API keys; {}\n",
                  table.accounts().size(), CountKeys(table),
                  route.is_public ? "the route is public, its calls need no key"
                                  : "calls of the route need a key");
  if (!view.refusal.empty()) {
    return text + "calls of this caller are refused with " + view.refusal +
           "\n";
  }
  // On public routes, the account of the caller is not determined.
  const int account_rank =
      view.account == nullptr || route.is_public ? 0 : view.account->rank;
  if (view.account != nullptr || route.is_public) {
    text += fmt::format("{}rank {} (account {}, route {})\n",
                        view.account == nullptr || route.is_public
                            ? ""
                            : "account " + view.account->account + ", ",
                        CallRank(account_rank, route.rank), account_rank,
                        route.rank);
  }
  return text;
}

json AccountsToJson(const AccountView& view,
                    const RouteRow& route,
                    const Table& table) {
  const bool is_identified = view.account != nullptr && !route.is_public;
  return {{"accounts", table.accounts().size()},
          {"account_keys", CountKeys(table)},
          {"account", is_identified ? json(view.account->account) : json()},
          {"refusal", view.refusal},
          {"rank", is_identified || route.is_public
                       ? json(CallRank(is_identified ? view.account->rank : 0,
                                       route.rank))
                       : json()}};
}

Failure NoRouteFailure(const Table& table, std::string_view host) {
  if (table.routes().empty()) {
    return Failure{FailureCode::kNotFound, std::string(host),
                   fmt::format("version {} has no routes; the path of a call "
                               "names its service",
                               table.version())};
  }
  std::string routes_of_host;
  for (const auto& [name, route] : table.routes()) {
    if (route.host == host) {
      routes_of_host += fmt::format(
          "{}{} ({})", routes_of_host.empty() ? "" : ", ", route.prefix, name);
    }
  }
  return Failure{
      FailureCode::kNotFound, std::string(host),
      routes_of_host.empty()
          ? fmt::format("version {} has no route of this host; calls to it "
                        "receive status 404",
                        table.version())
          : fmt::format("no route of this host has a prefix of the path in "
                        "version {}; there are {}",
                        table.version(), routes_of_host)};
}

int64_t TotalWeight(const RouteRow& route) {
  int64_t total = 0;
  for (const RouteShare& share : route.shares) {
    total += share.weight;
  }
  return total;
}

void PrintRoute(const RouteRow& route,
                const Table& table,
                const AccountView& view,
                ToolContext* context) {
  const auto total = static_cast<double>(TotalWeight(route));
  if (context->options().json) {
    json parts = json::array();
    for (const RouteShare& share : route.shares) {
      parts.push_back({{"service", share.service},
                       {"share", static_cast<double>(share.weight) / total}});
    }
    json value = {{"version", table.version()},
                  {"route", RowToJson(route)},
                  {"parts", std::move(parts)}};
    if (!table.accounts().empty()) {
      value.update(AccountsToJson(view, route, table));
    }
    context->PrintJson(value);
    return;
  }
  TextTable cells({"column", "value", "meaning"});
  for (const RouteColumn& column : Columns<RouteRow>()) {
    cells.Add({std::string(column.name), column.format_text(column, route),
               std::string(column.meaning)});
  }
  TextTable parts({"service", "share of the calls"});
  for (const RouteShare& share : route.shares) {
    parts.Add({share.service,
               fmt::format("{:.1f} %",
                           100 * static_cast<double>(share.weight) / total)});
  }
  context->out() << fmt::format("version {}\n\n", table.version())
                 << cells.ToString() << "\n"
                 << parts.ToString() << DescribeAccounts(view, route, table);
}

}  // namespace

ExitCode ExplainRoute(const std::string& call,
                      const CallerOption& caller,
                      const HostPort& node,
                      ToolContext* context) {
  AdminFetcher fetcher(context->loop(), context->options().shared_key);
  const AdminReply response =
      fetcher.Fetch(node, "/table", context->options().timeout);
  if (!response.value) {
    return context->Fail(response.reason);
  }
  Failure reason;
  const std::shared_ptr<const Table> table =
      ParseTable(*response.value, &reason);
  if (table == nullptr) {
    return context->Fail(reason);
  }
  const size_t slash = call.find('/');
  const std::string host = RouteIndex::NormalizeHost(call.substr(0, slash));
  const RouteRow* route = RouteIndex(table).Find(host, call.substr(slash));
  if (route == nullptr) {
    return context->Fail(NoRouteFailure(*table, host));
  }
  const std::optional<AccountView> view =
      FindAccount(caller, *route, table, &reason);
  if (!view) {
    return context->Fail(reason);
  }
  PrintRoute(*route, *table, *view, context);
  return ExitCode::kDone;
}

}  // namespace dragonflytack
