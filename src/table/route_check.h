#ifndef DRAGONFLYTACK_TABLE_ROUTE_CHECK_H_
#define DRAGONFLYTACK_TABLE_ROUTE_CHECK_H_

#include <optional>
#include <string>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/table.h"
#include "table/column.h"

namespace dragonflytack {

// Returns std::nullopt if the routes are valid in a table with these service
// rows, otherwise a failure. Its subject is "route name/column". `validate` is
// the check of each cell: &RouteColumn::validate or
// &RouteColumn::validate_accepted.
std::optional<Failure> CheckRoutes(
    const Table::Routes& routes,
    const Table::Rows& rows,
    RouteColumn::Validate RouteColumn::*validate);

// Appends an encoding of the routes for digests. Different routes have
// different encodings.
void AppendCanonicalEncoding(const Table::Routes& routes,
                             std::string* encoding);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_ROUTE_CHECK_H_
