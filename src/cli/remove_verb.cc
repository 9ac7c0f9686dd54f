#include "cli/edit_report.h"
#include "cli/tool_context.h"
#include "cli/verb.h"

namespace dragonflytack {

namespace {

class RemoveVerb final : public Verb {
 public:
  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map&,
               ToolContext* context) const override {
    return EditAndReport(
        [&](const Table::Rows& rows, Failure* reason) {
          return RemoveRow(rows, arguments[0], reason);
        },
        /*replace_unreadable=*/false, /*wait=*/false, context);
  }
};

}  // namespace

std::unique_ptr<Verb> MakeRemoveVerb() {
  return std::make_unique<RemoveVerb>();
}

}  // namespace dragonflytack
