#include <ostream>

#include <nlohmann/json.hpp>

#include "cli/tool_context.h"
#include "cli/verb.h"
#include "table/table_csv.h"
#include "table/table_json.h"

namespace dragonflytack {

namespace {

class ExportVerb final : public Verb {
 public:
  ExitCode Run(const Arguments&,
               const boost::program_options::variables_map&,
               ToolContext* context) const override {
    Failure reason;
    const auto table = context->ReadTable(&reason);
    if (!table) {
      return context->Fail(reason);
    }
    if (!context->options().json) {
      context->out() << FormatCsv(table->document.rows);
      return ExitCode::kDone;
    }
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [service, row] : table->document.rows) {
      rows.push_back(RowToJson(row));
    }
    context->PrintJson({{"version", table->version}, {"rows", rows}});
    return ExitCode::kDone;
  }
};

}  // namespace

std::unique_ptr<Verb> MakeExportVerb() {
  return std::make_unique<ExportVerb>();
}

}  // namespace dragonflytack
