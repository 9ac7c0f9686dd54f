#include <map>

#include <fmt/format.h>

#include "cli/edit_report.h"
#include "cli/sheet_option.h"
#include "cli/tool_context.h"
#include "cli/verb.h"

namespace dragonflytack {

namespace {

class AddVerb final : public Verb {
 public:
  void AddOptions(
      boost::program_options::options_description* options) const override {
    AddSheetOption(options);
  }

  std::string Notes() const override { return ColumnNotes(); }

  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map& options,
               ToolContext* context) const override {
    std::map<std::string, std::string> cells;
    for (size_t i = 1; i < arguments.size(); ++i) {
      const size_t equals = arguments[i].find('=');
      if (equals == std::string::npos ||
          !cells
               .emplace(arguments[i].substr(0, equals),
                        arguments[i].substr(equals + 1))
               .second) {
        // Values are not printed, because they may be API keys.
        return context->Fail(Failure{
            FailureCode::kInvalidArgument,
            equals == std::string::npos ? fmt::format("argument {}", i + 1)
                                        : arguments[i].substr(0, equals),
            "it is not COLUMN=VALUE, or names a column twice"});
      }
    }
    return EditAndReport(
        [&](const TableDocument& table, Failure* reason) {
          return VisitSheet(
              options, [&]<typename Row>(std::type_identity<Row>) {
                return AddRow(RowsOf<Row>(table), arguments[0], cells, reason);
              });
        },
        /*replace_unreadable=*/false, /*wait=*/false, context);
  }
};

}  // namespace

std::unique_ptr<Verb> MakeAddVerb() {
  return std::make_unique<AddVerb>();
}

}  // namespace dragonflytack
