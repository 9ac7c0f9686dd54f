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

// An answer of an admin port, or the reason why there is none.
struct AdminReply final {
  std::optional<nlohmann::json> value;
  Failure reason;
};

// Reads JSON from the admin ports of nodes, many at a time.
class AdminFetcher final {
 public:
  static constexpr size_t kParallel = 64;

  // Requests are authorized when the key is not empty.
  AdminFetcher(EventLoop* loop, const std::string& shared_key);

  // Asks every node for the same path and returns the answers in the order of
  // the nodes. `timeout` bounds each answer; `on_progress` is told how many
  // have come. Runs the loop until then.
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
