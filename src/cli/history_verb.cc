#include <ostream>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/text_table.h"
#include "cli/tool_context.h"
#include "cli/verb.h"
#include "table/column.h"
#include "table/table_json.h"

namespace dragonflytack {

namespace {

// Upper limit of fmt::gmtime(). Times out of range come from a faulty clock.
constexpr int64_t kMaxSeconds = 253'402'300'799;  // The end of the year 9999.

std::string FormatTime(int64_t time_ms) {
  const int64_t seconds = time_ms / 1000;
  if (seconds < 0 || seconds > kMaxSeconds) {
    return std::to_string(time_ms);
  }
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(seconds)));
}

class HistoryVerb final : public Verb {
 public:
  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map&,
               ToolContext* context) const override {
    Failure reason;
    std::optional<std::vector<EditRecord>> edits =
        context->ReadHistory(&reason);
    if (!edits) {
      return context->Fail(reason);
    }
    TextTable table({"time", "author", "row", "column", "old", "new"});
    nlohmann::json list = nlohmann::json::array();
    for (EditRecord& edit : *edits) {
      std::erase_if(edit.cells, [&](const CellEdit& cell) {
        return !arguments.empty() && cell.row != arguments[0];
      });
      if (edit.cells.empty()) {
        continue;
      }
      list.push_back(EditToJson(edit));
      for (const CellEdit& cell : edit.cells) {
        table.Add({FormatTime(edit.time_ms), edit.author,
                   RowLabel(cell.sheet, cell.row), cell.column, cell.old_text,
                   cell.new_text});
      }
    }
    if (context->options().json) {
      context->PrintJson({{"edits", list}});
    } else {
      context->out() << table.ToString();
      if (table.rows() == 0) {
        context->out() << "no edits"
                       << (arguments.empty() ? "" : " of " + arguments[0])
                       << "\n";
      }
    }
    return ExitCode::kDone;
  }
};

}  // namespace

std::unique_ptr<Verb> MakeHistoryVerb() {
  return std::make_unique<HistoryVerb>();
}

}  // namespace dragonflytack
