#include "cli/text_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

constexpr size_t kColumnGap = 2;
constexpr char kDelete = 0x7f;

// Returns the number of UTF-8 characters, so that columns with accented letters
// stay aligned.
size_t Width(const std::string& text) {
  return static_cast<size_t>(
      std::count_if(text.begin(), text.end(), [](char letter) {
        return (static_cast<unsigned char>(letter) & 0xc0) != 0x80;
      }));
}

bool IsNumber(const std::string& text) {
  return text.find_first_not_of("0123456789.") == std::string::npos &&
         std::count(text.begin(), text.end(), '.') <= 1;
}

}  // namespace

TextTable::TextTable(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void TextTable::Add(std::vector<std::string> cells) {
  assert(cells.size() == rows_.front().size());
  for (std::string& cell : cells) {
    std::replace_if(
        cell.begin(), cell.end(),
        [](char letter) {
          return (letter >= 0 && letter < ' ') || letter == kDelete;
        },
        '?');
  }
  rows_.push_back(std::move(cells));
}

std::string TextTable::ToString() const {
  const size_t columns = rows_.front().size();
  std::vector<size_t> widths(columns, 0);
  std::vector<bool> numbers(columns, rows_.size() > 1);
  for (size_t i = 0; i < rows_.size(); ++i) {
    for (size_t j = 0; j < columns; ++j) {
      widths[j] = std::max(widths[j], Width(rows_[i][j]));
      numbers[j] = numbers[j] && (i == 0 || IsNumber(rows_[i][j]));
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (size_t j = 0; j < columns; ++j) {
      const std::string padding(widths[j] - Width(row[j]), ' ');
      line += numbers[j] ? padding + row[j] : row[j] + padding;
      line.append(kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace dragonflytack
