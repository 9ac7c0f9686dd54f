#ifndef DRAGONFLYTACK_CLI_SHEET_OPTION_H_
#define DRAGONFLYTACK_CLI_SHEET_OPTION_H_

#include <optional>
#include <type_traits>

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include "dragonflytack/table/sheet.h"
#include "dragonflytack/table/table_document.h"
#include "table/table_edit.h"

namespace dragonflytack {

// Adds --routes and --accounts, which make a verb work on the sheet of routes
// or of client accounts.
void AddSheetOption(boost::program_options::options_description* options);

// Returns the sheet of services for verbs without these options, and
// std::nullopt if both are given.
std::optional<Sheet> ChosenSheet(
    const boost::program_options::variables_map& options);

template <typename Row>
const SheetRows<Row>& RowsOf(const TableDocument& document) {
  if constexpr (std::is_same_v<Row, RouteRow>) {
    return document.routes;
  } else if constexpr (std::is_same_v<Row, AccountRow>) {
    return document.accounts;
  } else {
    return document.rows;
  }
}

// Calls `visitor` with the row type of the chosen sheet as a
// std::type_identity. Tool::Run() has checked that one sheet is chosen.
template <typename Visitor>
auto VisitSheet(const boost::program_options::variables_map& options,
                Visitor visitor) {
  switch (ChosenSheet(options).value_or(Sheet::kServices)) {
    case Sheet::kRoutes:
      return visitor(std::type_identity<RouteRow>());
    case Sheet::kAccounts:
      return visitor(std::type_identity<AccountRow>());
    case Sheet::kServices:
      break;
  }
  return visitor(std::type_identity<ServiceRow>());
}

// Returns a description of the columns of all sheets, for --help.
std::string ColumnNotes();

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_SHEET_OPTION_H_
