#ifndef DRAGONFLYTACK_CLI_TEXT_TABLE_H_
#define DRAGONFLYTACK_CLI_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace dragonflytack {

// Formats text in aligned columns. Columns that contain only numbers are
// aligned to the right.
class TextTable final {
 public:
  explicit TextTable(std::vector<std::string> header);

  // `cells` must have as many elements as the header. Control characters are
  // replaced by '?', because cells contain text entered by other users, which
  // could otherwise send control sequences to the terminal.
  void Add(std::vector<std::string> cells);

  size_t rows() const { return rows_.size() - 1; }
  std::string ToString() const;

 private:
  // The first row is the header.
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_TEXT_TABLE_H_
