#ifndef DRAGONFLYTACK_TABLE_TABLE_JSON_H_
#define DRAGONFLYTACK_TABLE_TABLE_JSON_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/edit_record.h"
#include "dragonflytack/table/service_row.h"

namespace dragonflytack {

// Conversion of rows and edits to and from JSON objects. A row has one member
// per column; columns with a default may be missing in the input. Values are
// checked for their type only. Failures have the code kInvalidTable and, where
// one applies, the name of the cell as their subject.
template <typename Row>
nlohmann::json RowToJson(const Row& row);
template <typename Row = ServiceRow>
std::optional<Row> RowFromJson(const nlohmann::json& value, Failure* reason);

// All rows of a sheet as an array. RowsFromJson() refuses two rows with the
// same name.
template <typename Row>
nlohmann::json RowsToJson(const std::map<std::string, Row>& rows);
template <typename Row>
std::optional<std::map<std::string, Row>> RowsFromJson(
    const nlohmann::json& array,
    Failure* reason);

// Returns an array of objects with the members "service" (for cells of other
// sheets "route" or "account"), "column", "old" and "new".
nlohmann::json CellsToJson(const std::vector<CellEdit>& cells);

nlohmann::json EditToJson(const EditRecord& edit);
std::optional<EditRecord> EditFromJson(const nlohmann::json& value,
                                       Failure* reason);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_JSON_H_
