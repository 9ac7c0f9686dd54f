#include "dragonflytack/routing/route_index.h"

#include <algorithm>
#include <utility>

#include "dragonflytack/table/table.h"

namespace dragonflytack {

RouteIndex::RouteIndex(std::shared_ptr<const Table> table)
    : table_(std::move(table)) {
  routes_.reserve(table_->routes().size());
  for (const auto& [name, route] : table_->routes()) {
    routes_.emplace(route.host + route.prefix, &route);
  }
}

std::string RouteIndex::NormalizeHost(std::string_view header) {
  std::string host(header.substr(0, header.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return host;
}

const RouteRow* RouteIndex::Find(std::string_view host,
                                 std::string_view uri) const {
  const size_t path_end = std::min(uri.find_first_of("?#"), uri.size());
  std::string key = NormalizeHost(host);
  const size_t host_length = key.size();
  key += uri.substr(0, path_end);
  // Prefixes end with '/', so only substrings that end with '/' can match. The
  // longest is looked up first.
  for (size_t slash = key.rfind('/');
       slash != std::string::npos && slash >= host_length;
       slash = key.rfind('/')) {
    key.resize(slash + 1);
    const auto found = routes_.find(key);
    if (found != routes_.end()) {
      return found->second;
    }
    key.resize(slash);
  }
  return nullptr;
}

}  // namespace dragonflytack
