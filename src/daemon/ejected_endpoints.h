#ifndef DRAGONFLYTACK_DAEMON_EJECTED_ENDPOINTS_H_
#define DRAGONFLYTACK_DAEMON_EJECTED_ENDPOINTS_H_

#include <map>
#include <string>
#include <utility>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

// The endpoints that this node's call task has ejected after failures, as shown
// to operators. An entry expires at the end of its ejection period.
class EjectedEndpoints final {
 public:
  // `clock` must outlive the object.
  explicit EjectedEndpoints(const Clock* clock) : clock_(clock) {}

  void Add(const std::string& service,
           const NodeId& target,
           Milliseconds period);

  // Returns a description of the ejection with the time left, or an empty
  // string if the endpoint is not ejected.
  std::string EjectionReason(const std::string& service,
                             const NodeId& target) const;

  // Removes expired entries and returns the number of the others.
  size_t Count();

 private:
  void Expire();

  const Clock* const clock_;
  std::map<std::pair<std::string, NodeId>, TimePoint> ejected_until_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_EJECTED_ENDPOINTS_H_
