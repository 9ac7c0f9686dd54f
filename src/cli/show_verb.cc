#include <ostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/text_table.h"
#include "cli/tool_context.h"
#include "cli/verb.h"
#include "table/column.h"
#include "table/table_json.h"

namespace dragonflytack {

namespace {

std::string ShowRows(const Table::Rows& rows) {
  std::vector<std::string> header;
  for (const Column& column : Columns()) {
    header.emplace_back(column.name);
  }
  TextTable table(std::move(header));
  for (const auto& [service, row] : rows) {
    std::vector<std::string> cells;
    for (const Column& column : Columns()) {
      cells.push_back(column.format_text(column, row));
    }
    table.Add(std::move(cells));
  }
  return table.ToString();
}

std::string ShowRow(const ServiceRow& row) {
  TextTable table({"column", "value", "meaning", "range"});
  for (const Column& column : Columns()) {
    table.Add({std::string(column.name), column.format_text(column, row),
               std::string(column.meaning), std::string(column.range)});
  }
  return table.ToString();
}

class ShowVerb final : public Verb {
 public:
  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map&,
               ToolContext* context) const override {
    Failure reason;
    const auto table = context->ReadTable(&reason);
    if (!table) {
      return context->Fail(reason);
    }
    const Table::Rows& all = table->document.rows;
    if (!arguments.empty() && !all.contains(arguments[0])) {
      return context->Fail(Failure{FailureCode::kNotFound, arguments[0],
                                   "the table has no row of this service"});
    }
    if (context->options().json) {
      nlohmann::json rows = nlohmann::json::array();
      for (const auto& [service, row] : all) {
        if (arguments.empty() || service == arguments[0]) {
          rows.push_back(RowToJson(row));
        }
      }
      context->PrintJson({{"version", table->version}, {"rows", rows}});
      return ExitCode::kDone;
    }
    context->out() << (arguments.empty() ? ShowRows(all)
                                         : ShowRow(all.at(arguments[0])))
                   << fmt::format("version {}\n", table->version);
    return ExitCode::kDone;
  }
};

}  // namespace

std::unique_ptr<Verb> MakeShowVerb() {
  return std::make_unique<ShowVerb>();
}

}  // namespace dragonflytack
