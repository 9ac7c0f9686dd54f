#include <boost/program_options.hpp>

#include "cli/edit_report.h"
#include "cli/sheet_option.h"
#include "cli/tool_context.h"
#include "cli/verb.h"

namespace dragonflytack {

namespace {

class ImportVerb final : public Verb {
 public:
  void AddOptions(
      boost::program_options::options_description* options) const override {
    AddSheetOption(options);
    options->add_options()(
        "force", boost::program_options::bool_switch(),
        "also replace a stored table that cannot be read at all")(
        "wait", boost::program_options::bool_switch(),
        "wait until all nodes have the version in force");
  }

  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map& options,
               ToolContext* context) const override {
    return VisitSheet(options, [&]<typename Row>(std::type_identity<Row>) {
      Failure reason;
      const auto rows = ReadCsvFile<Row>(arguments[0], &reason);
      if (!rows) {
        return context->Fail(reason);
      }
      return EditAndReport(
          [&rows](const TableDocument& table, Failure*) {
            return std::optional<CellEdits>(
                DiffRows(RowsOf<Row>(table), *rows));
          },
          options["force"].as<bool>(), options["wait"].as<bool>(), context);
    });
  }
};

}  // namespace

std::unique_ptr<Verb> MakeImportVerb() {
  return std::make_unique<ImportVerb>();
}

}  // namespace dragonflytack
