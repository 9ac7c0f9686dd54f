#ifndef TOOLS_MEASURE_DRIVER_TABLE_WRITER_H_
#define TOOLS_MEASURE_DRIVER_TABLE_WRITER_H_

#include <cstdint>

#include "dragonflytack/table/table_document.h"

namespace dragonflytack {

class Fleet;

// Makes the edits of an operator during a measurement: writes the table object
// and tracks its version.
class TableWriter final {
 public:
  // Fills the table with `services` rows, starting with the services of the
  // fleet.
  TableWriter(Fleet* fleet, int services);

  // The result of a write: the new version, 0 if the store did not accept it,
  // and when the store's response arrived.
  struct WriteResult {
    uint64_t version = 0;
    int64_t time_ms = 0;
  };

  // Writes the table in its current state.
  WriteResult Write();

  // Changes one cell of one row and writes the table.
  WriteResult EditOneCell();

  TableDocument& document() { return document_; }

 private:
  Fleet* const fleet_;
  TableDocument document_;
  uint64_t version_ = 0;
  int edits_ = 0;
};

}  // namespace dragonflytack

#endif  // TOOLS_MEASURE_DRIVER_TABLE_WRITER_H_
