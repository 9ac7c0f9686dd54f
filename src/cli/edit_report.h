#ifndef DRAGONFLYTACK_CLI_EDIT_REPORT_H_
#define DRAGONFLYTACK_CLI_EDIT_REPORT_H_

#include <optional>
#include <string>

#include "cli/exit_code.h"
#include "store/table_editor.h"

namespace dragonflytack {

class ToolContext;

// Runs an edit for a verb, prints its outcome and returns the exit code. With
// `wait`, also waits until all nodes have the new version in force.
ExitCode EditAndReport(TableEditor::MakeCells make_cells,
                       bool replace_unreadable,
                       bool wait,
                       ToolContext* context);

// Returns "row, column: old -> new", for display.
std::string DescribeCell(const CellEdit& cell);

// Reads the rows of a sheet from a CSV file. A `path` of "-" stands for
// standard input.
template <typename Row>
std::optional<SheetRows<Row>> ReadCsvFile(const std::string& path,
                                          Failure* reason);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_EDIT_REPORT_H_
