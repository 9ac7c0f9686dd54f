#ifndef DRAGONFLYTACK_TABLE_EDIT_RECORD_H_
#define DRAGONFLYTACK_TABLE_EDIT_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "dragonflytack/table/cell_edit.h"

namespace dragonflytack {

// An edit that has landed in the table.
struct EditRecord final {
  // 32 hexadecimal digits, chosen by the editor. It shows after a lost answer
  // that the edit landed.
  std::string edit_id;
  std::string author;
  // Milliseconds since the Unix epoch, by the editor's clock.
  int64_t time_ms = 0;
  std::vector<CellEdit> cells;

  friend bool operator==(const EditRecord&, const EditRecord&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_EDIT_RECORD_H_
