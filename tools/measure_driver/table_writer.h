#ifndef TOOLS_MEASURE_DRIVER_TABLE_WRITER_H_
#define TOOLS_MEASURE_DRIVER_TABLE_WRITER_H_

#include <cstdint>

#include "dragonflytack/table/table_document.h"

namespace dragonflytack {

class Fleet;

// An operator's edits during a measurement: it writes the table object and
// keeps its version.
class TableWriter final {
 public:
  // Fills the table with `services` rows, the fleet's own services first.
  TableWriter(Fleet* fleet, int services);

  // An accepted write: its version and when the store's answer arrived.
  struct Accepted {
    uint64_t version = 0;
    int64_t time_ms = 0;
  };

  // Writes the table as it stands. Version 0 means that the store did not
  // accept it.
  Accepted Write();

  // Changes one cell of one row and writes the table.
  Accepted EditOneCell();

  TableDocument& document() { return document_; }

 private:
  Fleet* const fleet_;
  TableDocument document_;
  uint64_t version_ = 0;
  int edits_ = 0;
};

}  // namespace dragonflytack

#endif  // TOOLS_MEASURE_DRIVER_TABLE_WRITER_H_
