#ifndef DRAGONFLYTACK_TABLE_CELL_EDIT_H_
#define DRAGONFLYTACK_TABLE_CELL_EDIT_H_

#include <string>

#include "dragonflytack/table/sheet.h"

namespace dragonflytack {

// A change of one cell, with the texts as in a CSV file. The addition or
// removal of a row includes an edit of the first column, "service" or "name",
// with an empty old or new text.
struct CellEdit final {
  // Name of the service or route.
  std::string row;
  std::string column;
  std::string old_text;
  std::string new_text;
  Sheet sheet = Sheet::kServices;

  friend bool operator==(const CellEdit&, const CellEdit&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_CELL_EDIT_H_
