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

  // Converts the value of a header Host to the form that routes use: lower case
  // without a port.
  static std::string NormalizeHost(std::string_view header);

  // Returns the matching route with the longest path prefix, or null if no
  // route matches. `host` is the value of the header Host and may include a
  // port; `uri` is the path with the query.
  const RouteRow* Find(std::string_view host, std::string_view uri) const;

  bool empty() const { return routes_.empty(); }

 private:
  // Keeps the rows alive that `routes_` points to.
  const std::shared_ptr<const Table> table_;
  // Keys are the host followed by the prefix. No separator is needed because a
  // prefix begins with '/', which no host contains.
  std::unordered_map<std::string, const RouteRow*> routes_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ROUTING_ROUTE_INDEX_H_
