#ifndef DRAGONFLYTACK_TABLE_CELL_EDIT_H_
#define DRAGONFLYTACK_TABLE_CELL_EDIT_H_

#include <string>

namespace dragonflytack {

// One changed cell, with its text as in a CSV file. A row that is added or
// removed has the column "service" with an empty old or new text.
struct CellEdit final {
  std::string service;
  std::string column;
  std::string old_text;
  std::string new_text;

  friend bool operator==(const CellEdit&, const CellEdit&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_CELL_EDIT_H_
