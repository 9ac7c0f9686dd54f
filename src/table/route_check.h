#ifndef DRAGONFLYTACK_SRC_TABLE_ROUTE_CHECK_H_
#define DRAGONFLYTACK_SRC_TABLE_ROUTE_CHECK_H_

#include <optional>
#include <string>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/table.h"

namespace dragonflytack {

// Returns why the routes cannot be part of a table with these service rows,
// nothing when they can. The subject names the route and the column.
std::optional<Failure> CheckRoutes(const Table::Routes& routes,
                                   const Table::Rows& rows);

// Appends the routes in a form that differs for different routes, for digests.
void AppendCanonical(const Table::Routes& routes, std::string* encoding);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_TABLE_ROUTE_CHECK_H_
