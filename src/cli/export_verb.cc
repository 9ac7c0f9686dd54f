#include <ostream>

#include <nlohmann/json.hpp>

#include "cli/sheet_option.h"
#include "cli/tool_context.h"
#include "cli/verb.h"
#include "table/table_csv.h"
#include "table/table_json.h"

namespace dragonflytack {

namespace {

class ExportVerb final : public Verb {
 public:
  void AddOptions(
      boost::program_options::options_description* options) const override {
    AddSheetOption(options);
  }

  ExitCode Run(const Arguments&,
               const boost::program_options::variables_map& options,
               ToolContext* context) const override {
    Failure reason;
    const auto table = context->ReadTable(&reason);
    if (!table) {
      return context->Fail(reason);
    }
    return VisitSheet(options, [&]<typename Row>(std::type_identity<Row>) {
      const SheetRows<Row>& rows = RowsOf<Row>(table->document);
      if (context->options().json) {
        context->PrintJson(
            {{"version", table->version}, {"rows", RowsToJson(rows)}});
      } else {
        context->out() << FormatCsv(rows);
      }
      return ExitCode::kDone;
    });
  }
};

}  // namespace

std::unique_ptr<Verb> MakeExportVerb() {
  return std::make_unique<ExportVerb>();
}

}  // namespace dragonflytack
