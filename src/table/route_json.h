#ifndef DRAGONFLYTACK_SRC_TABLE_ROUTE_JSON_H_
#define DRAGONFLYTACK_SRC_TABLE_ROUTE_JSON_H_

#include <nlohmann/json_fwd.hpp>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/table.h"

namespace dragonflytack {

// The array "routes" of the store object "table": an object a route, named as
// the fields of RouteRow.
nlohmann::json RoutesToJson(const Table::Routes& routes);

// Reads the array. Returns false, with the route and the column in `reason`,
// when a value is missing or of another type; Table::Make() checks the values.
bool RoutesFromJson(const nlohmann::json& array,
                    Table::Routes* routes,
                    Failure* reason);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_TABLE_ROUTE_JSON_H_
