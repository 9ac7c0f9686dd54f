#include "cli/sheet_option.h"

#include <boost/program_options.hpp>

#include "cli/text_table.h"
#include "table/column.h"

namespace dragonflytack {

namespace {

template <typename Row>
std::string DescribeColumns() {
  TextTable table({"column", "meaning", "range", "default"});
  for (const BasicColumn<Row>& column : Columns<Row>()) {
    table.Add(
        {std::string(column.name), std::string(column.meaning),
         std::string(column.range),
         column.default_text ? std::string(*column.default_text) : "required"});
  }
  return table.ToString();
}

}  // namespace

void AddSheetOption(boost::program_options::options_description* options) {
  options->add_options()("routes", boost::program_options::bool_switch(),
                         "work on the sheet of routes")(
      "accounts", boost::program_options::bool_switch(),
      "work on the sheet of client accounts");
}

std::optional<Sheet> ChosenSheet(
    const boost::program_options::variables_map& options) {
  const auto is_set = [&](const char* name) {
    return options.contains(name) && options[name].as<bool>();
  };
  if (is_set("routes") && is_set("accounts")) {
    return std::nullopt;
  }
  return is_set("routes")     ? Sheet::kRoutes
         : is_set("accounts") ? Sheet::kAccounts
                              : Sheet::kServices;
}

std::string ColumnNotes() {
  return "Columns of services:\n" + DescribeColumns<ServiceRow>() +
         "\nColumns of routes (--routes):\n" + DescribeColumns<RouteRow>() +
         "\nColumns of client accounts (--accounts):\n" +
         DescribeColumns<AccountRow>();
}

}  // namespace dragonflytack
