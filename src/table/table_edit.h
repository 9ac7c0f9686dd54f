#ifndef DRAGONFLYTACK_TABLE_TABLE_EDIT_H_
#define DRAGONFLYTACK_TABLE_TABLE_EDIT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/cell_edit.h"
#include "dragonflytack/table/table_document.h"

namespace dragonflytack {

// A cell that was changed by somebody else since the edit was made.
struct CellConflict final {
  // Name of the service or the route.
  std::string row;
  std::string column;
  std::string expected;
  std::string found;
  Sheet sheet = Sheet::kServices;

  std::string ToString() const;

  friend bool operator==(const CellConflict&, const CellConflict&) = default;
};

using CellEdits = std::vector<CellEdit>;

// The functions below work on the rows of one sheet, ServiceRow or RouteRow.
template <typename Row>
using SheetRows = std::map<std::string, Row>;

// The cells in which two sets of rows differ. A row that is added or removed
// begins with the cell of its first column. A removal names all other cells
// too, so that the removal of a changed row is seen as a conflict; an addition
// leaves out those that have their default, which keeps the edit of an import
// small.
template <typename Row>
CellEdits DiffRows(const SheetRows<Row>& from, const SheetRows<Row>& to);

// Each returns the cells that the edit changes, or nothing with the reason:
// kInvalidArgument with the cell's name for a column or value that is not
// valid, kNotFound for a row that does not exist, kConflict for a row that
// already exists. `expect` replaces the old text of the cell, so that an edit
// of a cell with another text ends in a conflict.
template <typename Row>
std::optional<CellEdits> SetCell(const SheetRows<Row>& rows,
                                 const std::string& name,
                                 const std::string& column,
                                 const std::string& text,
                                 const std::optional<std::string>& expect,
                                 Failure* reason);
template <typename Row>
std::optional<CellEdits> AddRow(const SheetRows<Row>& rows,
                                const std::string& name,
                                const std::map<std::string, std::string>& cells,
                                Failure* reason);
template <typename Row>
std::optional<CellEdits> RemoveRow(const SheetRows<Row>& rows,
                                   const std::string& name,
                                   Failure* reason);

// Applies the cells of one sheet to rows that may be newer than those the edit
// was made on; cells of other sheets are left out. All of it is applied or
// none. Cells that still have their old text are changed; any other one is a
// conflict, even if it already has the new text, because another edit changed
// it. Returns the conflicts, which is empty when the edit was applied.
template <typename Row>
std::vector<CellConflict> ApplyCells(const CellEdits& cells,
                                     SheetRows<Row>* rows);

// Applies an edit to both sheets, all of it or none.
std::vector<CellConflict> ApplyEdit(const CellEdits& cells,
                                    TableDocument* document);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_EDIT_H_
