#ifndef DRAGONFLYTACK_TABLE_TABLE_EDIT_H_
#define DRAGONFLYTACK_TABLE_TABLE_EDIT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/cell_edit.h"
#include "dragonflytack/table/table.h"

namespace dragonflytack {

// A cell that was changed by somebody else since the edit was made.
struct CellConflict final {
  std::string service;
  std::string column;
  std::string expected;
  std::string found;

  std::string ToString() const;

  friend bool operator==(const CellConflict&, const CellConflict&) = default;
};

using CellEdits = std::vector<CellEdit>;

// The cells in which two sets of rows differ. A row that is added or removed
// begins with its cell "service". A removal names all other cells too, so that
// the removal of a changed row is seen as a conflict; an addition leaves out
// those that have their default, which keeps the edit of an import small.
CellEdits DiffRows(const Table::Rows& from, const Table::Rows& to);

// Each returns the cells that the edit changes, or nothing with the reason:
// kInvalidArgument with "service/column" for a column or value that is not
// valid, kNotFound for a row that does not exist, kConflict for a row that
// already exists. `expect` replaces the old text of the cell, so that an edit
// of a cell with another text ends in a conflict.
std::optional<CellEdits> SetCell(const Table::Rows& rows,
                                 const std::string& service,
                                 const std::string& column,
                                 const std::string& text,
                                 const std::optional<std::string>& expect,
                                 Failure* reason);
std::optional<CellEdits> AddRow(const Table::Rows& rows,
                                const std::string& service,
                                const std::map<std::string, std::string>& cells,
                                Failure* reason);
std::optional<CellEdits> RemoveRow(const Table::Rows& rows,
                                   const std::string& service,
                                   Failure* reason);

// Applies an edit to rows that may be newer than those it was made on. All of
// it is applied or none. Cells that still have their old text are changed; any
// other one is a conflict, even if it already has the new text, because another
// edit changed it. Returns the conflicts, which is empty when the edit was
// applied.
std::vector<CellConflict> ApplyCells(const CellEdits& cells, Table::Rows* rows);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_EDIT_H_
