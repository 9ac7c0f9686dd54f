#ifndef TOOLS_SOAK_DRIVER_FAULT_PROXY_H_
#define TOOLS_SOAK_DRIVER_FAULT_PROXY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/base/mailbox.h"
#include "dragonflytack/base/system_clock.h"
#include "soak_driver/link_fault.h"

struct evconnlistener;

namespace dragonflytack {

class ProxiedConnection;

// A TCP proxy between the processes of a fleet, on a thread of its own. It
// recognises the connecting process by its address and applies the faults that
// match the connection.
class FaultProxy final {
 public:
  struct Route {
    HostPort listen;
    HostPort destination;
    int process = 0;  // Bit of the destination.
  };

  // `addresses` are the addresses of the nodes by index.
  FaultProxy(std::vector<std::string> addresses, std::vector<Route> routes);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Returns false if an address cannot be bound.
  bool Start();

  // `id` identifies the fault for End().
  void Begin(int id, const LinkFault& fault);
  void End(int id);

 private:
  friend class ProxiedConnection;

  struct Listener {
    FaultProxy* proxy;
    Route route;
    evconnlistener* listener;
  };
  struct ActiveFault {
    LinkFault fault;
    // Connections with this serial number or a higher one are newer.
    uint64_t first_new_serial = 0;
  };

  void Accept(int fd, const std::string& source, const Route& route);
  void ApplyTo(ProxiedConnection* connection) const;
  void ApplyToAll();
  void Remove(ProxiedConnection* connection);

  const std::vector<std::string> addresses_;
  const SystemClock clock_;
  const std::unique_ptr<EventLoop> loop_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::map<int, ActiveFault> faults_;
  std::map<uint64_t, std::unique_ptr<ProxiedConnection>> connections_;
  uint64_t next_serial_ = 0;
  Mailbox<std::function<void()>> mailbox_;
  std::vector<Route> routes_;
  std::thread thread_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_FAULT_PROXY_H_
