#ifndef DRAGONFLYTACK_TABLE_CELL_EDIT_H_
#define DRAGONFLYTACK_TABLE_CELL_EDIT_H_

#include <string>

#include "dragonflytack/table/sheet.h"

namespace dragonflytack {

// A change of one cell, with the texts as in a CSV file. The addition or
// removal of a row includes an edit of the first column, "service", "name" or
// "account", with an empty old or new text. Texts of API keys are digests.
struct CellEdit final {
  // Name of the service, route or account.
  std::string row;
  std::string column;
  std::string old_text;
  std::string new_text;
  Sheet sheet = Sheet::kServices;

  friend bool operator==(const CellEdit&, const CellEdit&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_CELL_EDIT_H_
