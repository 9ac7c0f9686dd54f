#include "cli/column_notes.h"

#include "cli/text_table.h"
#include "table/column.h"

namespace dragonflytack {

std::string ColumnNotes() {
  TextTable table({"column", "meaning", "range", "default"});
  for (const Column& column : Columns()) {
    table.Add(
        {std::string(column.name), std::string(column.meaning),
         std::string(column.range),
         column.default_text ? std::string(*column.default_text) : "required"});
  }
  return table.ToString();
}

}  // namespace dragonflytack
