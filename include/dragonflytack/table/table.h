#ifndef DRAGONFLYTACK_TABLE_TABLE_H_
#define DRAGONFLYTACK_TABLE_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/account_row.h"
#include "dragonflytack/table/route_row.h"
#include "dragonflytack/table/service_row.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

// Immutable version of the operators' table. All its rows are valid.
class Table final {
 public:
  // Service rows by service, routes and accounts by name.
  using Rows = std::map<std::string, ServiceRow>;
  using Routes = std::map<std::string, RouteRow>;
  using Accounts = std::map<std::string, AccountRow>;

  // Limit of the encoding that digest() covers. A table that was written to a
  // store with values of up to 1 MiB is below it, also in the most compact
  // form: a version that the store has accepted must not fail here.
  static constexpr size_t kMaxEncodedBytes = 8'000'000;

  // Returns null if a row is invalid or the table is too large. The subject of
  // `reason` is then "service/column", "route name/column",
  // "account name/column" or "table". The result depends on the arguments only,
  // so all nodes accept or refuse the same versions.
  static std::shared_ptr<const Table> Make(TableVersion version,
                                           Rows rows,
                                           Routes routes,
                                           Accounts accounts,
                                           Failure* reason);
  // As Make(), for a table that a store has accepted from another system's
  // operators or that a peer has in force. Texts may have characters and
  // lengths that the editor refuses: a node must use a version that its
  // operators consider to be in force.
  static std::shared_ptr<const Table> MakeAccepted(TableVersion version,
                                                   Rows rows,
                                                   Routes routes,
                                                   Accounts accounts,
                                                   Failure* reason);
  // These make tables without accounts, and without routes.
  static std::shared_ptr<const Table> Make(TableVersion version,
                                           Rows rows,
                                           Routes routes,
                                           Failure* reason) {
    return Make(version, std::move(rows), std::move(routes), {}, reason);
  }
  static std::shared_ptr<const Table> MakeAccepted(TableVersion version,
                                                   Rows rows,
                                                   Routes routes,
                                                   Failure* reason) {
    return MakeAccepted(version, std::move(rows), std::move(routes), {},
                        reason);
  }
  static std::shared_ptr<const Table> Make(TableVersion version,
                                           Rows rows,
                                           Failure* reason) {
    return Make(version, std::move(rows), {}, {}, reason);
  }

  TableVersion version() const { return version_; }
  const Rows& rows() const { return rows_; }
  const Routes& routes() const { return routes_; }
  const Accounts& accounts() const { return accounts_; }

  // Returns the row of a service, or null if there is none.
  const ServiceRow* Find(const std::string& service) const;

  // Hash over the rows of all sheets, without the version. Equal contents have
  // equal digests on all nodes.
  uint64_t digest() const { return digest_; }

  friend bool operator==(const Table&, const Table&) = default;

 private:
  enum class Origin { kEditor, kAccepted };

  static std::shared_ptr<const Table> MakeFrom(Origin origin,
                                               TableVersion version,
                                               Rows rows,
                                               Routes routes,
                                               Accounts accounts,
                                               Failure* reason);
  Table(TableVersion version,
        Rows rows,
        Routes routes,
        Accounts accounts,
        uint64_t digest);

  TableVersion version_;
  Rows rows_;
  Routes routes_;
  Accounts accounts_;
  uint64_t digest_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_H_
