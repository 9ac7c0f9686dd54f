#ifndef DRAGONFLYTACK_CLI_ADMIN_FETCHER_H_
#define DRAGONFLYTACK_CLI_ADMIN_FETCHER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/base/timer_service.h"

namespace dragonflytack {

class EventLoop;

// The JSON that an admin port returned, or the reason why there is none.
struct AdminReply final {
  std::optional<nlohmann::json> value;
  Failure reason;
};

// Fetches JSON from the admin ports of nodes, several at a time.
class AdminFetcher final {
 public:
  static constexpr size_t kMaxParallelRequests = 64;

  // Requests carry an authorization header if the key is not empty.
  AdminFetcher(EventLoop* loop, const std::string& shared_key);

  // Requests the same path from every node and returns the replies in the order
  // of the nodes. `timeout` applies to each request; `on_progress` is called
  // with the number of requests completed so far. Runs the loop until all are
  // complete.
  std::vector<AdminReply> FetchAll(
      const std::vector<HostPort>& nodes,
      const std::string& target,
      Milliseconds timeout,
      const std::function<void(size_t)>& on_progress = {});

  AdminReply Fetch(const HostPort& node,
                   const std::string& target,
                   Milliseconds timeout);

 private:
  EventLoop* const loop_;
  const std::string authorization_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_ADMIN_FETCHER_H_
