#include "cli/edit_report.h"

#include <fstream>
#include <iostream>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/tool_context.h"
#include "cli/version_wait.h"
#include "table/column.h"
#include "table/table_csv.h"
#include "table/table_json.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

ExitCode ReportFailure(const EditOutcome& outcome, ToolContext* context) {
  Failure failure = outcome.failure;
  if (outcome.may_be_applied) {
    failure.detail += fmt::format(
        "; the edit {} may have landed: see \"dragonflytack history\" before "
        "you repeat it",
        outcome.edit.edit_id);
  }
  return context->Fail(failure, outcome.conflicts);
}

void PrintEdit(const EditOutcome& outcome, ToolContext* context) {
  if (outcome.edit.cells.empty()) {
    context->out() << fmt::format(
        "nothing to change; the table is at version {}\n", outcome.version);
    return;
  }
  for (const CellEdit& cell : outcome.edit.cells) {
    context->out() << DescribeCell(cell) << "\n";
  }
  context->out() << fmt::format(
      "version {}{}\n", outcome.version,
      outcome.merged ? ", merged with another edit" : "");
}

json MissingToJson(const WaitOutcome& wait) {
  json missing = json::array();
  for (const MissingNode& item : wait.missing) {
    missing.push_back(
        {{"node", item.node.id},
         {"region", item.node.region},
         {"data_centre", item.node.data_centre},
         {"version",
          item.version.in_force ? json(*item.version.in_force) : json()},
         {"reason", item.version.reason}});
  }
  return missing;
}

}  // namespace

std::string DescribeCell(const CellEdit& cell) {
  return fmt::format("{}, {}: \"{}\" -> \"{}\"", RowLabel(cell.sheet, cell.row),
                     cell.column, cell.old_text, cell.new_text);
}

template <typename Row>
std::optional<SheetRows<Row>> ReadCsvFile(const std::string& path,
                                          Failure* reason) {
  std::ifstream file;
  if (path != "-") {
    file.open(path, std::ios::binary);
    if (!file) {
      *reason = Failure{FailureCode::kInvalidArgument, path,
                        "the file cannot be read"};
      return std::nullopt;
    }
  }
  std::istream& input = path == "-" ? std::cin : file;
  // Reads one byte more than allowed, so that ParseCsv() rejects a file that is
  // too large.
  std::string text(TableDocument::kMaxBytes + 1, '\0');
  input.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(input.gcount()));
  std::optional<SheetRows<Row>> rows = ParseCsv<Row>(text, reason);
  if (!rows) {
    reason->subject = fmt::format("{}, {}", path, reason->subject);
  }
  return rows;
}

template std::optional<SheetRows<ServiceRow>> ReadCsvFile(const std::string&,
                                                          Failure*);
template std::optional<SheetRows<RouteRow>> ReadCsvFile(const std::string&,
                                                        Failure*);
template std::optional<SheetRows<AccountRow>> ReadCsvFile(const std::string&,
                                                          Failure*);

ExitCode EditAndReport(TableEditor::MakeCells make_cells,
                       bool replace_unreadable,
                       bool wait,
                       ToolContext* context) {
  Failure reason;
  // Reports a missing node address before the edit is written.
  if (wait && !context->Node(&reason)) {
    return context->Fail(reason);
  }
  const std::optional<EditOutcome> outcome =
      context->EditTable(std::move(make_cells), replace_unreadable, &reason);
  if (!outcome) {
    return context->Fail(reason);
  }
  if (outcome->failure.code != FailureCode::kNone) {
    return ReportFailure(*outcome, context);
  }
  const bool json_output = context->options().json;
  if (!json_output) {
    PrintEdit(*outcome, context);
  }
  json result = {{"version", outcome->version},
                 {"edit_id", outcome->edit.edit_id},
                 {"changed", !outcome->edit.cells.empty()},
                 {"merged", outcome->merged},
                 {"cells", CellsToJson(outcome->edit.cells)}};
  ExitCode code = ExitCode::kDone;
  if (wait) {
    const WaitOutcome wait_outcome = WaitForVersion(outcome->version, context);
    code = ExitCodeOf(wait_outcome.failure.code);
    result["wait"] = {{"nodes", wait_outcome.nodes},
                      {"milliseconds", wait_outcome.elapsed_ms},
                      {"missing", MissingToJson(wait_outcome)}};
    if (code != ExitCode::kDone) {
      context->Fail(wait_outcome.failure);
    }
    if (!json_output && code == ExitCode::kDone) {
      context->out() << fmt::format(
          "in force on {} nodes after {:.1f} s\n", wait_outcome.nodes,
          static_cast<double>(wait_outcome.elapsed_ms) / 1000);
    } else if (!json_output && !wait_outcome.missing.empty()) {
      PrintMissingNodes(wait_outcome, context);
    }
  }
  if (json_output) {
    context->PrintJson(result);
  }
  return code;
}

}  // namespace dragonflytack
