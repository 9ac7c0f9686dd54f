#include "table/table_edit.h"

#include <algorithm>
#include <span>
#include <utility>

#include <fmt/format.h>

#include "table/column.h"

namespace dragonflytack {

namespace {

template <typename Row>
std::string_view NameColumn() {
  return Columns<Row>().front().name;
}

// Appends the cells in which two versions of a row differ. Null stands for a
// row that does not exist.
template <typename Row>
void DiffRow(const std::string& name,
             const Row* from,
             const Row* to,
             CellEdits* cells) {
  for (const BasicColumn<Row>& column : Columns<Row>()) {
    std::string old_text =
        from == nullptr ? std::string() : column.format_text(column, *from);
    std::string new_text =
        to == nullptr ? std::string() : column.format_text(column, *to);
    const bool is_added_default =
        from == nullptr && new_text == column.default_text;
    if (old_text != new_text && !is_added_default) {
      cells->push_back(CellEdit{name, std::string(column.name),
                                std::move(old_text), std::move(new_text),
                                kSheetOf<Row>});
    }
  }
}

template <typename Row>
const Row* FindRow(const SheetRows<Row>& rows, const std::string& name) {
  const auto found = rows.find(name);
  return found == rows.end() ? nullptr : &found->second;
}

// Sets a cell from its text and validates it.
template <typename Row>
bool ParseCell(const std::string& column_name,
               const std::string& text,
               Row* row,
               Failure* reason) {
  const BasicColumn<Row>* column = FindColumn<Row>(column_name);
  std::optional<std::string> error;
  if (column == nullptr) {
    error = fmt::format("there is no such column; the columns are {}",
                        ColumnNames<Row>());
  } else if (!column->parse_text(*column, text, row)) {
    error = InvalidText(*column, text);
  } else {
    error = column->validate(*column, *row);
  }
  if (!error) {
    return true;
  }
  *reason = Failure{FailureCode::kInvalidArgument,
                    CellName(kSheetOf<Row>, RowName(*row), column_name),
                    *std::move(error)};
  return false;
}

template <typename Row>
Failure RowNotFound(const std::string& name) {
  return Failure{FailureCode::kNotFound,
                 std::string(SubjectName(kSheetOf<Row>, name)),
                 fmt::format("the table has no row of this {}",
                             SheetRowName(kSheetOf<Row>))};
}

// Applies the cells of one row. The cells are contiguous, because an edit lists
// the cells of a row together.
template <typename Row>
class RowEdit final {
 public:
  RowEdit(std::span<const CellEdit> cells, SheetRows<Row>* rows)
      : cells_(cells), name_(cells.front().row), rows_(rows) {}

  void Apply(std::vector<CellConflict>* conflicts) {
    const bool is_whole_row = cells_.front().column == NameColumn<Row>();
    const bool is_addition = is_whole_row && cells_.front().old_text.empty();
    const Row* found = FindRow(*rows_, name_);
    if (is_addition ? found != nullptr : found == nullptr) {
      const CellEdit& cell = cells_.front();
      conflicts->push_back(CellConflict{name_, cell.column, cell.old_text,
                                        is_addition ? name_ : std::string(),
                                        kSheetOf<Row>});
      return;
    }
    if (is_whole_row && !is_addition) {
      AppendConflicts(*found, conflicts);
      rows_->erase(name_);
      return;
    }
    Row row;
    if (found != nullptr) {
      row = *found;
      AppendConflicts(row, conflicts);
    }
    for (const CellEdit& cell : cells_) {
      const BasicColumn<Row>* column = FindColumn<Row>(cell.column);
      if (column != nullptr) {
        column->parse_text(*column, cell.new_text, &row);
      }
    }
    (*rows_)[name_] = std::move(row);
  }

 private:
  void AppendConflicts(const Row& row,
                       std::vector<CellConflict>* conflicts) const {
    for (const CellEdit& cell : cells_) {
      const BasicColumn<Row>* column = FindColumn<Row>(cell.column);
      std::string text =
          column == nullptr ? std::string() : column->format_text(*column, row);
      if (column == nullptr || text != cell.old_text) {
        conflicts->push_back(CellConflict{name_, cell.column, cell.old_text,
                                          std::move(text), kSheetOf<Row>});
      }
    }
  }

  const std::span<const CellEdit> cells_;
  const std::string& name_;
  SheetRows<Row>* const rows_;
};

}  // namespace

std::string CellConflict::ToString() const {
  return fmt::format("{}, column {}: expected \"{}\", found \"{}\"",
                     RowLabel(sheet, row), column, expected, found);
}

template <typename Row>
CellEdits DiffRows(const SheetRows<Row>& from, const SheetRows<Row>& to) {
  CellEdits cells;
  for (const auto& [name, row] : from) {
    DiffRow(name, &row, FindRow(to, name), &cells);
  }
  for (const auto& [name, row] : to) {
    if (FindRow(from, name) == nullptr) {
      DiffRow<Row>(name, nullptr, &row, &cells);
    }
  }
  return cells;
}

template <typename Row>
std::optional<CellEdits> SetCell(const SheetRows<Row>& rows,
                                 const std::string& name,
                                 const std::string& column,
                                 const std::string& text,
                                 const std::optional<std::string>& expect,
                                 Failure* reason) {
  const Row* old_row = FindRow(rows, name);
  if (old_row == nullptr) {
    *reason = RowNotFound<Row>(name);
    return std::nullopt;
  }
  if (column == NameColumn<Row>()) {
    *reason = Failure{FailureCode::kInvalidArgument,
                      CellName(kSheetOf<Row>, name, column),
                      "a row cannot be renamed; remove it and add a new one"};
    return std::nullopt;
  }
  Row row = *old_row;
  if (!ParseCell(column, text, &row, reason)) {
    return std::nullopt;
  }
  CellEdits cells;
  DiffRow<Row>(name, old_row, &row, &cells);
  if (expect) {
    const BasicColumn<Row>& edited = *FindColumn<Row>(column);
    // Converts the expected text to its canonical form if it can be parsed.
    Row expected = *old_row;
    const bool is_valid = edited.parse_text(edited, *expect, &expected);
    if (!is_valid && kSheetOf<Row> == Sheet::kAccounts) {
      // A conflict would print the text, which may be an API key.
      *reason = Failure{FailureCode::kInvalidArgument,
                        CellName(kSheetOf<Row>, name, column),
                        "the expected value: " + InvalidText(edited, *expect)};
      return std::nullopt;
    }
    const std::string old_text =
        is_valid ? edited.format_text(edited, expected) : *expect;
    if (old_text != edited.format_text(edited, *old_row)) {
      cells = {CellEdit{name, column, old_text, edited.format_text(edited, row),
                        kSheetOf<Row>}};
    }
  }
  return cells;
}

template <typename Row>
std::optional<CellEdits> AddRow(const SheetRows<Row>& rows,
                                const std::string& name,
                                const std::map<std::string, std::string>& cells,
                                Failure* reason) {
  if (FindRow(rows, name) != nullptr) {
    *reason = Failure{FailureCode::kConflict, name,
                      "the table already has a row with this name"};
    return std::nullopt;
  }
  Row row;
  if (!ParseCell(std::string(NameColumn<Row>()), name, &row, reason)) {
    return std::nullopt;
  }
  for (const auto& [column, text] : cells) {
    if (column == NameColumn<Row>() || !ParseCell(column, text, &row, reason)) {
      if (column == NameColumn<Row>()) {
        *reason = Failure{FailureCode::kInvalidArgument, name,
                          "the name of the row is given twice"};
      }
      return std::nullopt;
    }
  }
  for (const BasicColumn<Row>& column : Columns<Row>()) {
    if (!column.default_text && column.name != NameColumn<Row>() &&
        !cells.contains(std::string(column.name))) {
      *reason = Failure{
          FailureCode::kInvalidArgument,
          CellName(kSheetOf<Row>, name, column.name),
          fmt::format("the value is missing; expected {}", column.range)};
      return std::nullopt;
    }
  }
  CellEdits edits;
  DiffRow<Row>(name, nullptr, &row, &edits);
  return edits;
}

template <typename Row>
std::optional<CellEdits> RemoveRow(const SheetRows<Row>& rows,
                                   const std::string& name,
                                   Failure* reason) {
  const Row* row = FindRow(rows, name);
  if (row == nullptr) {
    *reason = RowNotFound<Row>(name);
    return std::nullopt;
  }
  CellEdits cells;
  DiffRow<Row>(name, row, nullptr, &cells);
  return cells;
}

template <typename Row>
std::vector<CellConflict> ApplyCells(const CellEdits& cells,
                                     SheetRows<Row>* rows) {
  std::vector<CellConflict> conflicts;
  SheetRows<Row> result = *rows;
  for (auto first = cells.begin(); first != cells.end();) {
    const auto last =
        std::find_if(first, cells.end(), [&](const CellEdit& cell) {
          return cell.row != first->row || cell.sheet != first->sheet;
        });
    if (first->sheet == kSheetOf<Row>) {
      RowEdit<Row>({first, last}, &result).Apply(&conflicts);
    }
    first = last;
  }
  if (conflicts.empty()) {
    *rows = std::move(result);
  }
  return conflicts;
}

std::vector<CellConflict> ApplyEdit(const CellEdits& cells,
                                    TableDocument* document) {
  Table::Rows rows = document->rows;
  std::vector<CellConflict> conflicts = ApplyCells(cells, &rows);
  Table::Routes routes = document->routes;
  const std::vector<CellConflict> route_conflicts = ApplyCells(cells, &routes);
  conflicts.insert(conflicts.end(), route_conflicts.begin(),
                   route_conflicts.end());
  Table::Accounts accounts = document->accounts;
  const std::vector<CellConflict> account_conflicts =
      ApplyCells(cells, &accounts);
  conflicts.insert(conflicts.end(), account_conflicts.begin(),
                   account_conflicts.end());
  if (conflicts.empty()) {
    document->rows = std::move(rows);
    document->routes = std::move(routes);
    document->accounts = std::move(accounts);
  }
  return conflicts;
}

template CellEdits DiffRows(const SheetRows<ServiceRow>&,
                            const SheetRows<ServiceRow>&);
template std::optional<CellEdits> SetCell(const SheetRows<ServiceRow>&,
                                          const std::string&,
                                          const std::string&,
                                          const std::string&,
                                          const std::optional<std::string>&,
                                          Failure*);
template std::optional<CellEdits> AddRow(
    const SheetRows<ServiceRow>&,
    const std::string&,
    const std::map<std::string, std::string>&,
    Failure*);
template std::optional<CellEdits> RemoveRow(const SheetRows<ServiceRow>&,
                                            const std::string&,
                                            Failure*);
template std::vector<CellConflict> ApplyCells(const CellEdits&,
                                              SheetRows<ServiceRow>*);

template CellEdits DiffRows(const SheetRows<RouteRow>&,
                            const SheetRows<RouteRow>&);
template std::optional<CellEdits> SetCell(const SheetRows<RouteRow>&,
                                          const std::string&,
                                          const std::string&,
                                          const std::string&,
                                          const std::optional<std::string>&,
                                          Failure*);
template std::optional<CellEdits> AddRow(
    const SheetRows<RouteRow>&,
    const std::string&,
    const std::map<std::string, std::string>&,
    Failure*);
template std::optional<CellEdits> RemoveRow(const SheetRows<RouteRow>&,
                                            const std::string&,
                                            Failure*);
template std::vector<CellConflict> ApplyCells(const CellEdits&,
                                              SheetRows<RouteRow>*);

template CellEdits DiffRows(const SheetRows<AccountRow>&,
                            const SheetRows<AccountRow>&);
template std::optional<CellEdits> SetCell(const SheetRows<AccountRow>&,
                                          const std::string&,
                                          const std::string&,
                                          const std::string&,
                                          const std::optional<std::string>&,
                                          Failure*);
template std::optional<CellEdits> AddRow(
    const SheetRows<AccountRow>&,
    const std::string&,
    const std::map<std::string, std::string>&,
    Failure*);
template std::optional<CellEdits> RemoveRow(const SheetRows<AccountRow>&,
                                            const std::string&,
                                            Failure*);
template std::vector<CellConflict> ApplyCells(const CellEdits&,
                                              SheetRows<AccountRow>*);

}  // namespace dragonflytack
