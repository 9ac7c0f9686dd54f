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
                         "work on the sheet of routes");
}

bool IsRoutesSheet(const boost::program_options::variables_map& options) {
  return options["routes"].as<bool>();
}

std::string ColumnNotes() {
  return "Columns of services:\n" + DescribeColumns<ServiceRow>() +
         "\nColumns of routes (--routes):\n" + DescribeColumns<RouteRow>();
}

}  // namespace dragonflytack
