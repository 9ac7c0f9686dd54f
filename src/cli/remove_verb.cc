#include "cli/edit_report.h"
#include "cli/sheet_option.h"
#include "cli/tool_context.h"
#include "cli/verb.h"

namespace dragonflytack {

namespace {

class RemoveVerb final : public Verb {
 public:
  void AddOptions(
      boost::program_options::options_description* options) const override {
    AddSheetOption(options);
  }

  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map& options,
               ToolContext* context) const override {
    return EditAndReport(
        [&](const TableDocument& table, Failure* reason) {
          return VisitSheet(
              options, [&]<typename Row>(std::type_identity<Row>) {
                return RemoveRow(RowsOf<Row>(table), arguments[0], reason);
              });
        },
        /*replace_unreadable=*/false, /*wait=*/false, context);
  }
};

}  // namespace

std::unique_ptr<Verb> MakeRemoveVerb() {
  return std::make_unique<RemoveVerb>();
}

}  // namespace dragonflytack
