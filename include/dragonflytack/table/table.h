#ifndef DRAGONFLYTACK_TABLE_TABLE_H_
#define DRAGONFLYTACK_TABLE_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/route_row.h"
#include "dragonflytack/table/service_row.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

// One version of the operators' table, validated whole and never changed
// afterwards.
class Table final {
 public:
  // Service rows by service, routes by name.
  using Rows = std::map<std::string, ServiceRow>;
  using Routes = std::map<std::string, RouteRow>;

  static constexpr size_t kMaxRows = 1000;
  static constexpr size_t kMaxRoutes = 10'000;

  // Returns nothing when a row is invalid; `reason` then names the row and the
  // column. The verdict depends on the arguments only, so all nodes accept or
  // refuse a version alike. The subject of `reason` is "service/column" or
  // "table".
  static std::shared_ptr<const Table> Make(TableVersion version,
                                           Rows rows,
                                           Routes routes,
                                           Failure* reason);
  // A table without routes.
  static std::shared_ptr<const Table> Make(TableVersion version,
                                           Rows rows,
                                           Failure* reason) {
    return Make(version, std::move(rows), {}, reason);
  }

  TableVersion version() const { return version_; }
  const Rows& rows() const { return rows_; }
  const Routes& routes() const { return routes_; }

  // Returns the row of a service, null when there is none.
  const ServiceRow* Find(const std::string& service) const;

  // Hash over all rows and routes, without the version. Equal rows give equal
  // digests on every node.
  uint64_t digest() const { return digest_; }

  friend bool operator==(const Table&, const Table&) = default;

 private:
  Table(TableVersion version, Rows rows, Routes routes, uint64_t digest);

  TableVersion version_;
  Rows rows_;
  Routes routes_;
  uint64_t digest_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_H_
