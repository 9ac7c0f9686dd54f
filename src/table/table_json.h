#ifndef DRAGONFLYTACK_TABLE_TABLE_JSON_H_
#define DRAGONFLYTACK_TABLE_TABLE_JSON_H_

#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/edit_record.h"
#include "dragonflytack/table/service_row.h"

namespace dragonflytack {

// Rows and edits as JSON objects. A row has one member a column; columns with a
// default may be left out when read. Values are checked for their type only.
// Failures have the code kInvalidTable and "service/column" as their subject.
nlohmann::json RowToJson(const ServiceRow& row);
std::optional<ServiceRow> RowFromJson(const nlohmann::json& value,
                                      Failure* reason);

nlohmann::json EditToJson(const EditRecord& edit);
std::optional<EditRecord> EditFromJson(const nlohmann::json& value,
                                       Failure* reason);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_JSON_H_
