#ifndef DRAGONFLYTACK_ROUTING_ROUTE_INDEX_H_
#define DRAGONFLYTACK_ROUTING_ROUTE_INDEX_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "dragonflytack/table/route_row.h"

namespace dragonflytack {

class Table;

// The routes of one version of the table, by host and path prefix.
class RouteIndex final {
 public:
  explicit RouteIndex(std::shared_ptr<const Table> table);

  // Returns the host of a header Host as routes name it: in lower case and
  // without a port.
  static std::string HostOf(std::string_view header);

  // Returns the route of a call, null when none matches. `host` is the value of
  // the header Host, a port included; `target` is path and query.
  const RouteRow* Find(std::string_view host, std::string_view target) const;

  bool empty() const { return routes_.empty(); }

 private:
  // Holds the rows.
  const std::shared_ptr<const Table> table_;
  // Keys are host and prefix without a separator: a prefix begins with '/',
  // which no host contains.
  std::unordered_map<std::string, const RouteRow*> routes_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ROUTING_ROUTE_INDEX_H_
