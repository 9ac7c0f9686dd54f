#include <ostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/edit_report.h"
#include "cli/sheet_option.h"
#include "cli/text_table.h"
#include "cli/tool_context.h"
#include "cli/verb.h"
#include "table/table_json.h"

namespace dragonflytack {

namespace {

class DiffVerb final : public Verb {
 public:
  void AddOptions(
      boost::program_options::options_description* options) const override {
    AddSheetOption(options);
  }

  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map& options,
               ToolContext* context) const override {
    Failure reason;
    std::optional<ToolContext::StoredTable> table;
    const std::optional<CellEdits> cells =
        VisitSheet(options, [&]<typename Row>(std::type_identity<Row>) {
          const auto rows = ReadCsvFile<Row>(arguments[0], &reason);
          if (rows) {
            table = context->ReadTable(&reason);
          }
          return table ? std::optional(
                             DiffRows(RowsOf<Row>(table->document), *rows))
                       : std::nullopt;
        });
    if (!cells) {
      return context->Fail(reason);
    }
    if (context->options().json) {
      context->PrintJson(
          {{"version", table->version}, {"cells", CellsToJson(*cells)}});
      return ExitCode::kDone;
    }
    TextTable text({"row", "column", "table", "file"});
    for (const CellEdit& cell : *cells) {
      text.Add({cell.row, cell.column, cell.old_text, cell.new_text});
    }
    context->out() << (cells->empty() ? "no difference\n" : text.ToString())
                   << fmt::format("version {}\n", table->version);
    return ExitCode::kDone;
  }
};

}  // namespace

std::unique_ptr<Verb> MakeDiffVerb() {
  return std::make_unique<DiffVerb>();
}

}  // namespace dragonflytack
