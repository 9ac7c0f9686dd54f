#ifndef DRAGONFLYTACK_CLI_EDIT_REPORT_H_
#define DRAGONFLYTACK_CLI_EDIT_REPORT_H_

#include <optional>
#include <string>

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

// Returns "row, column: old -> new" for people.
std::string DescribeCell(const CellEdit& cell);

// Reads the rows of a sheet from a CSV file, or standard input for "-".
template <typename Row>
std::optional<SheetRows<Row>> ReadCsvFile(const std::string& path,
                                          Failure* reason);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_EDIT_REPORT_H_
