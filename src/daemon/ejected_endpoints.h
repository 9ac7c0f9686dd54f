#ifndef DRAGONFLYTACK_DAEMON_EJECTED_ENDPOINTS_H_
#define DRAGONFLYTACK_DAEMON_EJECTED_ENDPOINTS_H_

#include <map>
#include <string>
#include <utility>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

// The endpoints that the call task of this node leaves out after failures, for
// operators. An entry ends with its period.
class EjectedEndpoints final {
 public:
  // `clock` must outlive the object.
  explicit EjectedEndpoints(const Clock* clock) : clock_(clock) {}

  void Note(const std::string& service,
            const NodeId& target,
            Milliseconds period);

  // Says why the endpoint gets no calls; empty when it is not ejected.
  std::string LeftOut(const std::string& service, const NodeId& target) const;

  size_t Count();

 private:
  void Expire();

  const Clock* const clock_;
  std::map<std::pair<std::string, NodeId>, TimePoint> until_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_EJECTED_ENDPOINTS_H_
