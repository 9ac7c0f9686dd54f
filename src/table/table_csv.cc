#include "table/table_csv.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "dragonflytack/table/table_document.h"
#include "table/column.h"

namespace dragonflytack {

namespace {

struct CsvRecord {
  int line = 0;
  std::vector<std::string> fields;
};

Failure CsvFailure(int line, std::string detail) {
  return Failure{FailureCode::kInvalidCsv, fmt::format("line {}", line),
                 std::move(detail)};
}

// Splits the text into records. A quoted field may contain commas, line breaks
// and doubled quotes.
class CsvReader final {
 public:
  explicit CsvReader(std::string_view text) : text_(text) {}

  std::optional<std::vector<CsvRecord>> Read(Failure* reason) {
    std::vector<CsvRecord> records;
    while (position_ < text_.size()) {
      CsvRecord record{line_, {}};
      if (!ReadRecord(&record, reason)) {
        return std::nullopt;
      }
      // Empty lines, which editors may leave at the end, are skipped.
      if (record.fields.size() > 1 || !record.fields[0].empty()) {
        records.push_back(std::move(record));
      }
    }
    return records;
  }

 private:
  bool ReadRecord(CsvRecord* record, Failure* reason) {
    while (true) {
      std::string& field = record->fields.emplace_back();
      if (position_ < text_.size() && text_[position_] == '"') {
        if (!ReadQuoted(&field, reason)) {
          return false;
        }
      } else {
        const size_t end =
            std::min(text_.find_first_of(",\r\n\"", position_), text_.size());
        field = text_.substr(position_, end - position_);
        position_ = end;
      }
      if (position_ == text_.size() || ConsumeLineEnd()) {
        return true;
      }
      if (text_[position_] != ',') {
        *reason = CsvFailure(line_,
                             "a field contains a quote or carriage return "
                             "but is not quoted");
        return false;
      }
      ++position_;
    }
  }

  bool ReadQuoted(std::string* field, Failure* reason) {
    const int first_line = line_;
    ++position_;
    while (position_ < text_.size()) {
      const char c = text_[position_++];
      if (c == '"' && (position_ == text_.size() || text_[position_] != '"')) {
        return true;
      }
      position_ += c == '"' ? 1 : 0;
      line_ += c == '\n' ? 1 : 0;
      *field += c;
    }
    *reason = CsvFailure(first_line, "the closing quote of a field is missing");
    return false;
  }

  bool ConsumeLineEnd() {
    const std::string_view rest = text_.substr(position_);
    if (!rest.starts_with("\n") && !rest.starts_with("\r\n")) {
      return false;
    }
    position_ += rest[0] == '\n' ? 1 : 2;
    ++line_;
    return true;
  }

  const std::string_view text_;
  size_t position_ = 0;
  int line_ = 1;
};

// Returns how an error names an unknown column. Without a header, the first
// line of a sheet of accounts may contain an API key.
template <typename Row>
std::string HeaderFieldName(const std::string& name, size_t index) {
  return kSheetOf<Row> == Sheet::kAccounts
             ? fmt::format("of the name in field {}", index + 1)
             : fmt::format("\"{}\"", name);
}

// Returns the subject of a failure in a cell. For accounts it contains the name
// of the row, because the message does not contain the text of the cell.
template <typename Row>
std::string CellSubject(const std::vector<const BasicColumn<Row>*>& columns,
                        const CsvRecord& record,
                        const BasicColumn<Row>& column) {
  const auto name =
      std::find(columns.begin(), columns.end(), &Columns<Row>().front());
  if (kSheetOf<Row> != Sheet::kAccounts || *name == &column) {
    return fmt::format("line {}, column {}", record.line, column.name);
  }
  return fmt::format(
      "line {}, {}", record.line,
      CellName(kSheetOf<Row>,
               record.fields[static_cast<size_t>(name - columns.begin())],
               column.name));
}

template <typename Row>
std::optional<std::vector<const BasicColumn<Row>*>> ParseHeader(
    const CsvRecord& header,
    Failure* reason) {
  std::vector<const BasicColumn<Row>*> columns;
  for (size_t i = 0; i < header.fields.size(); ++i) {
    const std::string& name = header.fields[i];
    const BasicColumn<Row>* column = FindColumn<Row>(name);
    const bool is_duplicate =
        std::find(columns.begin(), columns.end(), column) != columns.end();
    if (column == nullptr || is_duplicate) {
      *reason = CsvFailure(
          header.line,
          is_duplicate
              ? fmt::format("the column \"{}\" is named twice", name)
              : fmt::format("there is no column {}; the columns are {}",
                            HeaderFieldName<Row>(name, i), ColumnNames<Row>()));
      return std::nullopt;
    }
    columns.push_back(column);
  }
  for (const BasicColumn<Row>& column : Columns<Row>()) {
    if (!column.default_text &&
        std::find(columns.begin(), columns.end(), &column) == columns.end()) {
      *reason = CsvFailure(
          header.line, fmt::format("the column {} is missing", column.name));
      return std::nullopt;
    }
  }
  return columns;
}

template <typename Row>
std::optional<Row> ParseRecord(
    const std::vector<const BasicColumn<Row>*>& columns,
    const CsvRecord& record,
    Failure* reason) {
  if (record.fields.size() != columns.size()) {
    *reason = CsvFailure(record.line,
                         fmt::format("{} fields, but the header has {}",
                                     record.fields.size(), columns.size()));
    return std::nullopt;
  }
  Row row;
  for (size_t i = 0; i < columns.size(); ++i) {
    const BasicColumn<Row>& column = *columns[i];
    const std::string_view text =
        record.fields[i].empty() && column.default_text
            ? *column.default_text
            : std::string_view(record.fields[i]);
    std::optional<std::string> error;
    if (!column.parse_text(column, text, &row)) {
      error = InvalidText(column, text);
    } else {
      error = column.validate(column, row);
    }
    if (error) {
      *reason =
          Failure{FailureCode::kInvalidCsv,
                  CellSubject(columns, record, column), *std::move(error)};
      return std::nullopt;
    }
  }
  return row;
}

void AppendField(std::string_view text, std::string* line) {
  if (text.find_first_of(",\"\r\n") == std::string_view::npos) {
    *line += text;
    return;
  }
  *line += '"';
  for (const char c : text) {
    line->append(c == '"' ? 2 : 1, c);
  }
  *line += '"';
}

}  // namespace

template <typename Row>
std::optional<std::map<std::string, Row>> ParseCsv(std::string_view text,
                                                   Failure* reason) {
  if (text.size() > TableDocument::kMaxBytes) {
    *reason = Failure{FailureCode::kTooLarge, "CSV",
                      fmt::format("{} bytes exceed the limit of {}",
                                  text.size(), TableDocument::kMaxBytes)};
    return std::nullopt;
  }
  // Spreadsheet programs may write a byte order mark.
  if (text.starts_with("\xEF\xBB\xBF")) {
    text.remove_prefix(3);
  }
  std::optional<std::vector<CsvRecord>> records = CsvReader(text).Read(reason);
  if (!records) {
    return std::nullopt;
  }
  if (records->empty()) {
    *reason = CsvFailure(1, "the header is missing");
    return std::nullopt;
  }
  const auto columns = ParseHeader<Row>(records->front(), reason);
  if (!columns) {
    return std::nullopt;
  }
  std::map<std::string, Row> rows;
  for (size_t i = 1; i < records->size(); ++i) {
    std::optional<Row> row = ParseRecord<Row>(*columns, (*records)[i], reason);
    if (!row) {
      return std::nullopt;
    }
    const std::string name = RowName(*row);
    if (!rows.emplace(name, *std::move(row)).second) {
      *reason = CsvFailure((*records)[i].line,
                           fmt::format("there are two rows of \"{}\"", name));
      return std::nullopt;
    }
  }
  return rows;
}

template <typename Row>
std::string FormatCsv(const std::map<std::string, Row>& rows) {
  std::string text;
  for (const BasicColumn<Row>& column : Columns<Row>()) {
    text += text.empty() ? "" : ",";
    text += column.name;
  }
  text += "\r\n";
  for (const auto& [name, row] : rows) {
    std::string line;
    for (const BasicColumn<Row>& column : Columns<Row>()) {
      if (&column != &Columns<Row>().front()) {
        line += ',';
      }
      AppendField(column.format_text(column, row), &line);
    }
    text += line + "\r\n";
  }
  return text;
}

template std::optional<std::map<std::string, ServiceRow>> ParseCsv(
    std::string_view,
    Failure*);
template std::optional<std::map<std::string, RouteRow>> ParseCsv(
    std::string_view,
    Failure*);
template std::optional<std::map<std::string, AccountRow>> ParseCsv(
    std::string_view,
    Failure*);
template std::string FormatCsv(const std::map<std::string, ServiceRow>&);
template std::string FormatCsv(const std::map<std::string, RouteRow>&);
template std::string FormatCsv(const std::map<std::string, AccountRow>&);

}  // namespace dragonflytack
