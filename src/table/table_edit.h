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

// A cell that another edit has changed since this edit was created.
struct CellConflict final {
  // Name of the service, route or account.
  std::string row;
  std::string column;
  std::string expected;
  std::string found;
  Sheet sheet = Sheet::kServices;

  std::string ToString() const;

  friend bool operator==(const CellConflict&, const CellConflict&) = default;
};

using CellEdits = std::vector<CellEdit>;

// The rows of one sheet by name; `Row` is ServiceRow,
// RouteRow or AccountRow.
template <typename Row>
using SheetRows = std::map<std::string, Row>;

// Returns the cells in which two sets of rows differ. For a row that is added
// or removed, the cell of the first column comes first. A removal includes all
// other cells that are not empty, so that the removal of a changed row is a
// conflict. An addition omits cells with the default value, which keeps the
// edit of an import small.
template <typename Row>
CellEdits DiffRows(const SheetRows<Row>& from, const SheetRows<Row>& to);

// Each of the following returns the cells that the edit changes, or
// std::nullopt with a reason: kInvalidArgument with the name of the cell for an
// invalid column or value, kNotFound for a row that does not exist, kConflict
// for a row that already exists. If `expect` is set, it replaces the old text
// of the cell, so that applying the edit to a cell with another text is a
// conflict.
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

// Applies the cells of one sheet to rows that may be newer than those from
// which the edit was created; cells of other sheets are ignored. Either all
// cells are applied or none. A cell that does not have its old text is a
// conflict, even if it already has the new text, because another edit changed
// it. Returns the conflicts; empty if the edit was applied.
template <typename Row>
std::vector<CellConflict> ApplyCells(const CellEdits& cells,
                                     SheetRows<Row>* rows);

// Applies an edit to all sheets; either all cells are applied or none.
std::vector<CellConflict> ApplyEdit(const CellEdits& cells,
                                    TableDocument* document);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_EDIT_H_
