#ifndef TOOLS_SOAK_DRIVER_FAULT_RELAY_H_
#define TOOLS_SOAK_DRIVER_FAULT_RELAY_H_

#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/base/mailbox.h"
#include "dragonflytack/base/system_clock.h"
#include "soak_driver/relay_fault.h"

struct evconnlistener;

namespace dragonflytack {

class RelayedConnection;

// A TCP relay between the daemons of a fleet and the store and targets, on a
// thread of its own. Each daemon has an address of the relay for each, so that
// the faults of one do not concern the others.
class FaultRelay final {
 public:
  struct Path {
    HostPort listen;
    HostPort destination;
    RelayRoute route = RelayRoute::kStore;
    int node = 0;
  };

  explicit FaultRelay(std::vector<Path> paths);
  ~FaultRelay();
  FaultRelay(const FaultRelay&) = delete;
  FaultRelay& operator=(const FaultRelay&) = delete;

  // Returns false if an address cannot be bound.
  bool Start();

  // `id` identifies the fault for End().
  void Begin(int id, const RelayFault& fault);
  void End(int id);

 private:
  struct Listener {
    FaultRelay* relay;
    Path path;
    evconnlistener* listener;
  };
  struct ActiveFault {
    RelayFault fault;
    // Connections with this serial number or a higher one are newer.
    uint64_t first_new_serial = 0;
  };

  void Accept(int fd, const Path& path);
  void ApplyTo(RelayedConnection* connection) const;
  void ApplyToAll();
  void Remove(RelayedConnection* connection);

  const SystemClock clock_;
  const std::unique_ptr<EventLoop> loop_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::map<int, ActiveFault> faults_;
  std::map<uint64_t, std::unique_ptr<RelayedConnection>> connections_;
  uint64_t next_serial_ = 0;
  Mailbox<std::function<void()>> mailbox_;
  const std::vector<Path> paths_;
  std::thread thread_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_FAULT_RELAY_H_
