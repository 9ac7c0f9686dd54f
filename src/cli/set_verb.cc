#include <boost/program_options.hpp>

#include "cli/edit_report.h"
#include "cli/sheet_option.h"
#include "cli/tool_context.h"
#include "cli/verb.h"

namespace dragonflytack {

namespace {

class SetVerb final : public Verb {
 public:
  void AddOptions(
      boost::program_options::options_description* options) const override {
    AddSheetOption(options);
    options->add_options()(
        "expect",
        boost::program_options::value<std::string>()->value_name("OLD"),
        "change the cell only if it has this value")(
        "wait", boost::program_options::bool_switch(),
        "wait until all nodes have the version in force");
  }

  std::string Notes() const override { return ColumnNotes(); }

  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map& options,
               ToolContext* context) const override {
    std::optional<std::string> expect;
    if (options.contains("expect")) {
      expect = options["expect"].as<std::string>();
    }
    return EditAndReport(
        [&](const TableDocument& table, Failure* reason) {
          return VisitSheet(
              options, [&]<typename Row>(std::type_identity<Row>) {
                return SetCell(RowsOf<Row>(table), arguments[0], arguments[1],
                               arguments[2], expect, reason);
              });
        },
        /*replace_unreadable=*/false, options["wait"].as<bool>(), context);
  }
};

}  // namespace

std::unique_ptr<Verb> MakeSetVerb() {
  return std::make_unique<SetVerb>();
}

}  // namespace dragonflytack
