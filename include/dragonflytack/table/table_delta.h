#ifndef DRAGONFLYTACK_TABLE_TABLE_DELTA_H_
#define DRAGONFLYTACK_TABLE_TABLE_DELTA_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/account_row.h"
#include "dragonflytack/table/route_row.h"
#include "dragonflytack/table/service_row.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

class Table;

// The difference between one version of the table and an older one.
struct TableDelta final {
  TableVersion from = 0;
  TableVersion to = 0;
  // Rows of `to` that are new or changed.
  std::vector<ServiceRow> changed;
  // Services of `from` that `to` does not have.
  std::set<std::string> removed;
  // Table::digest() of the whole of `to`.
  uint64_t digest = 0;
  // Routes of `to` that are new or changed, and names of those of `from` that
  // `to` does not have.
  std::vector<RouteRow> changed_routes;
  std::set<std::string> removed_routes;
  // The same for accounts.
  std::vector<AccountRow> changed_accounts;
  std::set<std::string> removed_accounts;

  static TableDelta Between(const Table& from, const Table& to);

  // Returns the resulting table. Returns null and sets `reason` if `base` is
  // not version `from`, `to` is not newer than `from`, the result is invalid,
  // or its digest is not `digest`.
  std::shared_ptr<const Table> ApplyTo(const Table& base,
                                       Failure* reason) const;

  friend bool operator==(const TableDelta&, const TableDelta&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_DELTA_H_
