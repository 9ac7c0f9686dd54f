#include <ostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/sheet_option.h"
#include "cli/text_table.h"
#include "cli/tool_context.h"
#include "cli/verb.h"
#include "table/column.h"
#include "table/table_json.h"

namespace dragonflytack {

namespace {

template <typename Row>
std::string ShowRows(const SheetRows<Row>& rows) {
  std::vector<std::string> header;
  for (const BasicColumn<Row>& column : Columns<Row>()) {
    header.emplace_back(column.name);
  }
  TextTable table(std::move(header));
  for (const auto& [name, row] : rows) {
    std::vector<std::string> cells;
    for (const BasicColumn<Row>& column : Columns<Row>()) {
      cells.push_back(column.format_text(column, row));
    }
    table.Add(std::move(cells));
  }
  return table.ToString();
}

template <typename Row>
std::string ShowRow(const Row& row) {
  TextTable table({"column", "value", "meaning", "range"});
  for (const BasicColumn<Row>& column : Columns<Row>()) {
    table.Add({std::string(column.name), column.format_text(column, row),
               std::string(column.meaning), std::string(column.range)});
  }
  return table.ToString();
}

class ShowVerb final : public Verb {
 public:
  void AddOptions(
      boost::program_options::options_description* options) const override {
    AddSheetOption(options);
  }

  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map& options,
               ToolContext* context) const override {
    Failure reason;
    const auto table = context->ReadTable(&reason);
    if (!table) {
      return context->Fail(reason);
    }
    return VisitSheet(options, [&]<typename Row>(std::type_identity<Row>) {
      SheetRows<Row> rows = RowsOf<Row>(table->document);
      if (!arguments.empty()) {
        std::erase_if(rows, [&arguments](const auto& item) {
          return item.first != arguments[0];
        });
        if (rows.empty()) {
          return context->Fail(
              Failure{FailureCode::kNotFound,
                      std::string(SubjectName(kSheetOf<Row>, arguments[0])),
                      "the sheet has no row of this name"});
        }
      }
      if (context->options().json) {
        context->PrintJson(
            {{"version", table->version}, {"rows", RowsToJson(rows)}});
      } else {
        context->out() << (arguments.empty() ? ShowRows(rows)
                                             : ShowRow(rows.begin()->second))
                       << fmt::format("version {}\n", table->version);
      }
      return ExitCode::kDone;
    });
  }
};

}  // namespace

std::unique_ptr<Verb> MakeShowVerb() {
  return std::make_unique<ShowVerb>();
}

}  // namespace dragonflytack
