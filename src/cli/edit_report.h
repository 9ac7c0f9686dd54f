#ifndef DRAGONFLYTACK_CLI_EDIT_REPORT_H_
#define DRAGONFLYTACK_CLI_EDIT_REPORT_H_

#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "cli/exit_code.h"
#include "store/table_editor.h"

namespace dragonflytack {

class ToolContext;

// Runs an edit for a verb, reports how it ended and returns the exit code. With
// `wait` it also waits until the fleet has the version in force.
ExitCode EditAndReport(TableEditor::MakeCells make_cells,
                       bool replace_unreadable,
                       bool wait,
                       ToolContext* context);

// Returns the cells as JSON objects with "service", "column", "old" and "new".
nlohmann::json CellsToJson(const CellEdits& cells);

// Returns "service, column: old -> new" for people.
std::string DescribeCell(const CellEdit& cell);

// Reads a CSV file, or standard input for "-".
std::optional<Table::Rows> ReadCsvFile(const std::string& path,
                                       Failure* reason);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_EDIT_REPORT_H_
