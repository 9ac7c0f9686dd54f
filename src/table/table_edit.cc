#include "table/table_edit.h"

#include <algorithm>
#include <span>
#include <utility>

#include <fmt/format.h>

#include "table/column.h"

namespace dragonflytack {

namespace {

constexpr std::string_view kServiceColumn = "service";

// Appends the cells of one service; a null row does not exist.
void DiffRow(const std::string& service,
             const ServiceRow* from,
             const ServiceRow* to,
             CellEdits* cells) {
  for (const Column& column : Columns()) {
    std::string old_text =
        from == nullptr ? std::string() : column.format_text(column, *from);
    std::string new_text =
        to == nullptr ? std::string() : column.format_text(column, *to);
    const bool added_default =
        from == nullptr && new_text == column.default_text;
    if (old_text != new_text && !added_default) {
      cells->push_back(CellEdit{service, std::string(column.name),
                                std::move(old_text), std::move(new_text)});
    }
  }
}

const ServiceRow* FindRow(const Table::Rows& rows, const std::string& service) {
  const auto found = rows.find(service);
  return found == rows.end() ? nullptr : &found->second;
}

// Sets a cell from its text and checks it.
bool ParseCell(const std::string& column_name,
               const std::string& text,
               ServiceRow* row,
               Failure* reason) {
  const Column* column = FindColumn(column_name);
  std::optional<std::string> fault;
  if (column == nullptr) {
    fault = fmt::format("there is no such column; the columns are {}",
                        ColumnNames());
  } else if (!column->parse_text(*column, text, row)) {
    fault = fmt::format("\"{}\" is not {}", text, column->range);
  } else {
    fault = column->validate(*column, *row);
  }
  if (!fault) {
    return true;
  }
  *reason = Failure{FailureCode::kInvalidArgument,
                    CellName(row->service, column_name), *std::move(fault)};
  return false;
}

Failure NoSuchRow(const std::string& service) {
  return Failure{FailureCode::kNotFound, service,
                 "the table has no row of this service"};
}

// Applies the cells of one service; they are in one run because edits list the
// cells of a row together.
class RowEdit final {
 public:
  RowEdit(std::span<const CellEdit> cells, Table::Rows* rows)
      : cells_(cells), service_(cells.front().service), rows_(rows) {}

  void Apply(std::vector<CellConflict>* conflicts) {
    const bool whole_row = cells_.front().column == kServiceColumn;
    const bool add = whole_row && cells_.front().old_text.empty();
    const ServiceRow* found = FindRow(*rows_, service_);
    if (add ? found != nullptr : found == nullptr) {
      const CellEdit& cell = cells_.front();
      conflicts->push_back(CellConflict{service_, cell.column, cell.old_text,
                                        add ? service_ : std::string()});
      return;
    }
    if (whole_row && !add) {
      Compare(*found, conflicts);
      rows_->erase(service_);
      return;
    }
    ServiceRow row;
    if (found != nullptr) {
      row = *found;
      Compare(row, conflicts);
    }
    for (const CellEdit& cell : cells_) {
      const Column* column = FindColumn(cell.column);
      if (column != nullptr) {
        column->parse_text(*column, cell.new_text, &row);
      }
    }
    (*rows_)[service_] = std::move(row);
  }

 private:
  void Compare(const ServiceRow& row,
               std::vector<CellConflict>* conflicts) const {
    for (const CellEdit& cell : cells_) {
      const Column* column = FindColumn(cell.column);
      std::string text =
          column == nullptr ? std::string() : column->format_text(*column, row);
      if (column == nullptr || text != cell.old_text) {
        conflicts->push_back(CellConflict{service_, cell.column, cell.old_text,
                                          std::move(text)});
      }
    }
  }

  const std::span<const CellEdit> cells_;
  const std::string& service_;
  Table::Rows* const rows_;
};

}  // namespace

std::string CellConflict::ToString() const {
  return fmt::format("{}, column {}: expected \"{}\", found \"{}\"", service,
                     column, expected, found);
}

CellEdits DiffRows(const Table::Rows& from, const Table::Rows& to) {
  CellEdits cells;
  for (const auto& [service, row] : from) {
    DiffRow(service, &row, FindRow(to, service), &cells);
  }
  for (const auto& [service, row] : to) {
    if (FindRow(from, service) == nullptr) {
      DiffRow(service, nullptr, &row, &cells);
    }
  }
  return cells;
}

std::optional<CellEdits> SetCell(const Table::Rows& rows,
                                 const std::string& service,
                                 const std::string& column,
                                 const std::string& text,
                                 const std::optional<std::string>& expect,
                                 Failure* reason) {
  const ServiceRow* old_row = FindRow(rows, service);
  if (old_row == nullptr) {
    *reason = NoSuchRow(service);
    return std::nullopt;
  }
  if (column == kServiceColumn) {
    *reason = Failure{FailureCode::kInvalidArgument, CellName(service, column),
                      "a service cannot be renamed; add and remove rows"};
    return std::nullopt;
  }
  ServiceRow row = *old_row;
  if (!ParseCell(column, text, &row, reason)) {
    return std::nullopt;
  }
  CellEdits cells;
  DiffRow(service, old_row, &row, &cells);
  if (expect) {
    const Column& edited = *FindColumn(column);
    // Brings the text into the form of the table where it has one.
    ServiceRow expected = *old_row;
    const std::string old_text = edited.parse_text(edited, *expect, &expected)
                                     ? edited.format_text(edited, expected)
                                     : *expect;
    if (old_text != edited.format_text(edited, *old_row)) {
      cells = {
          CellEdit{service, column, old_text, edited.format_text(edited, row)}};
    }
  }
  return cells;
}

std::optional<CellEdits> AddRow(const Table::Rows& rows,
                                const std::string& service,
                                const std::map<std::string, std::string>& cells,
                                Failure* reason) {
  if (FindRow(rows, service) != nullptr) {
    *reason = Failure{FailureCode::kConflict, service,
                      "the table already has a row of this service"};
    return std::nullopt;
  }
  ServiceRow row;
  row.service = service;
  if (!ParseCell("service", service, &row, reason)) {
    return std::nullopt;
  }
  for (const auto& [column, text] : cells) {
    if (column == kServiceColumn || !ParseCell(column, text, &row, reason)) {
      if (column == kServiceColumn) {
        *reason = Failure{FailureCode::kInvalidArgument, service,
                          "the service is named twice"};
      }
      return std::nullopt;
    }
  }
  for (const Column& column : Columns()) {
    if (!column.default_text && column.name != kServiceColumn &&
        !cells.contains(std::string(column.name))) {
      *reason =
          Failure{FailureCode::kInvalidArgument, CellName(service, column.name),
                  fmt::format("the value is missing; it is {}", column.range)};
      return std::nullopt;
    }
  }
  CellEdits edits;
  DiffRow(service, nullptr, &row, &edits);
  return edits;
}

std::optional<CellEdits> RemoveRow(const Table::Rows& rows,
                                   const std::string& service,
                                   Failure* reason) {
  const ServiceRow* row = FindRow(rows, service);
  if (row == nullptr) {
    *reason = NoSuchRow(service);
    return std::nullopt;
  }
  CellEdits cells;
  DiffRow(service, row, nullptr, &cells);
  return cells;
}

std::vector<CellConflict> ApplyCells(const CellEdits& cells,
                                     Table::Rows* rows) {
  std::vector<CellConflict> conflicts;
  Table::Rows result = *rows;
  for (auto first = cells.begin(); first != cells.end();) {
    const auto last = std::find_if(
        first, cells.end(),
        [&](const CellEdit& cell) { return cell.service != first->service; });
    RowEdit({first, last}, &result).Apply(&conflicts);
    first = last;
  }
  if (conflicts.empty()) {
    *rows = std::move(result);
  }
  return conflicts;
}

}  // namespace dragonflytack
