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

// Rows and edits as JSON objects. A row has one member a column; columns with a
// default may be left out when read. Values are checked for their type only.
// Failures have the code kInvalidTable and the name of the cell as their
// subject.
template <typename Row>
nlohmann::json RowToJson(const Row& row);
template <typename Row = ServiceRow>
std::optional<Row> RowFromJson(const nlohmann::json& value, Failure* reason);

// All rows of a sheet as an array. Two rows of one name are refused.
template <typename Row>
nlohmann::json RowsToJson(const std::map<std::string, Row>& rows);
template <typename Row>
std::optional<std::map<std::string, Row>> RowsFromJson(
    const nlohmann::json& array,
    Failure* reason);

// Objects with "service" or, for a cell of a route, "route", and "column",
// "old" and "new".
nlohmann::json CellsToJson(const std::vector<CellEdit>& cells);

nlohmann::json EditToJson(const EditRecord& edit);
std::optional<EditRecord> EditFromJson(const nlohmann::json& value,
                                       Failure* reason);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_JSON_H_
