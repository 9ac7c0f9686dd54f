#ifndef DRAGONFLYTACK_CLI_SHEET_OPTION_H_
#define DRAGONFLYTACK_CLI_SHEET_OPTION_H_

#include <type_traits>

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include "dragonflytack/table/table_document.h"
#include "table/table_edit.h"

namespace dragonflytack {

// Adds --routes, which makes a verb work on the sheet of routes.
void AddSheetOption(boost::program_options::options_description* options);

bool IsRoutesSheet(const boost::program_options::variables_map& options);

template <typename Row>
const SheetRows<Row>& RowsOf(const TableDocument& document) {
  if constexpr (std::is_same_v<Row, RouteRow>) {
    return document.routes;
  } else {
    return document.rows;
  }
}

// Calls `visitor` with the row type of the chosen sheet as a
// std::type_identity.
template <typename Visitor>
auto VisitSheet(const boost::program_options::variables_map& options,
                Visitor visitor) {
  return IsRoutesSheet(options) ? visitor(std::type_identity<RouteRow>())
                                : visitor(std::type_identity<ServiceRow>());
}

// Returns a description of the columns of both sheets, for --help.
std::string ColumnNotes();

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_SHEET_OPTION_H_
