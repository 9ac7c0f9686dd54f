#include "table/column_factory.h"

#include <charconv>
#include <limits>

namespace dragonflytack {

namespace {

// Subjects of failures are logged and reported by each node; another system's
// store may accept names of any length.
constexpr size_t kMaxSubjectNameBytes = 253;

}  // namespace

std::optional<int> ParseInteger(std::string_view text) {
  int value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<int> ParseInteger(const nlohmann::json& value) {
  if (!value.is_number_integer()) {
    return std::nullopt;
  }
  // An unsigned value above the range of int64_t would become negative below.
  if (value.is_number_unsigned() &&
      value.get<uint64_t>() > std::numeric_limits<int>::max()) {
    return std::nullopt;
  }
  const auto number = value.get<int64_t>();
  if (number < std::numeric_limits<int>::min() ||
      number > std::numeric_limits<int>::max()) {
    return std::nullopt;
  }
  return static_cast<int>(number);
}

const char* SheetRowName(Sheet sheet) {
  switch (sheet) {
    case Sheet::kServices:
      return "service";
    case Sheet::kRoutes:
      return "route";
    case Sheet::kAccounts:
      return "account";
  }
  return "row";
}

std::string_view SubjectName(Sheet sheet, std::string_view row) {
  if (sheet == Sheet::kAccounts && row.starts_with(kPlainKeyPrefix)) {
    return "without a valid name";
  }
  if (row.size() <= kMaxSubjectNameBytes) {
    return row;
  }
  // Cuts between two characters of UTF-8.
  constexpr int kTypeBits = 0xC0;
  constexpr int kContinuation = 0x80;
  size_t size = kMaxSubjectNameBytes;
  while (size > 0 &&
         (static_cast<unsigned char>(row[size]) & kTypeBits) == kContinuation) {
    --size;
  }
  return row.substr(0, size);
}

std::string RowLabel(Sheet sheet, std::string_view row) {
  return sheet == Sheet::kServices
             ? std::string(row)
             : fmt::format("{} {}", SheetRowName(sheet), row);
}

std::string CellName(Sheet sheet,
                     std::string_view row,
                     std::string_view column) {
  return fmt::format("{}/{}", RowLabel(sheet, SubjectName(sheet, row)), column);
}

}  // namespace dragonflytack
