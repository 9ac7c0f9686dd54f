#ifndef DRAGONFLYTACK_TABLE_ROUTE_CHECK_H_
#define DRAGONFLYTACK_TABLE_ROUTE_CHECK_H_

#include <optional>
#include <string>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/table.h"

namespace dragonflytack {

// Returns std::nullopt if the routes are valid in a table with these service
// rows, otherwise a failure. Its subject is "route name/column", or "routes" if
// there are too many.
std::optional<Failure> CheckRoutes(const Table::Routes& routes,
                                   const Table::Rows& rows);

// Appends an encoding of the routes for digests. Different routes have
// different encodings.
void AppendCanonicalEncoding(const Table::Routes& routes,
                             std::string* encoding);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_ROUTE_CHECK_H_
