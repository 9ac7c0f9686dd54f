#include <ostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/edit_report.h"
#include "cli/text_table.h"
#include "cli/tool_context.h"
#include "cli/verb.h"

namespace dragonflytack {

namespace {

class DiffVerb final : public Verb {
 public:
  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map&,
               ToolContext* context) const override {
    Failure reason;
    const std::optional<Table::Rows> rows = ReadCsvFile(arguments[0], &reason);
    if (!rows) {
      return context->Fail(reason);
    }
    const auto table = context->ReadTable(&reason);
    if (!table) {
      return context->Fail(reason);
    }
    const CellEdits cells = DiffRows(table->document.rows, *rows);
    if (context->options().json) {
      context->PrintJson(
          {{"version", table->version}, {"cells", CellsToJson(cells)}});
      return ExitCode::kDone;
    }
    TextTable text({"service", "column", "table", "file"});
    for (const CellEdit& cell : cells) {
      text.Add({cell.service, cell.column, cell.old_text, cell.new_text});
    }
    context->out() << (cells.empty() ? "no difference\n" : text.ToString())
                   << fmt::format("version {}\n", table->version);
    return ExitCode::kDone;
  }
};

}  // namespace

std::unique_ptr<Verb> MakeDiffVerb() {
  return std::make_unique<DiffVerb>();
}

}  // namespace dragonflytack
