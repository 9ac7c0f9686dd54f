#ifndef DRAGONFLYTACK_CLI_TEXT_TABLE_H_
#define DRAGONFLYTACK_CLI_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace dragonflytack {

// Lines up text in columns for people. Columns whose cells are all numbers are
// aligned to the right.
class TextTable final {
 public:
  explicit TextTable(std::vector<std::string> header);

  // `cells` must have as many texts as the header. Control characters are shown
  // as '?', because texts come from other people's edits and could otherwise
  // steer the terminal.
  void Add(std::vector<std::string> cells);

  size_t rows() const { return rows_.size() - 1; }
  std::string ToString() const;

 private:
  // The first one is the header.
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_TEXT_TABLE_H_
