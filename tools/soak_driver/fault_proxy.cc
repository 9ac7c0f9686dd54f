#include "soak_driver/fault_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include <event2/listener.h>

#include "soak_driver/proxied_connection.h"

namespace dragonflytack {

FaultProxy::FaultProxy(std::vector<std::string> addresses,
                       std::vector<Route> routes)
    : addresses_(std::move(addresses)),
      loop_(EventLoop::Make(&clock_)),
      mailbox_(loop_.get(), [](const std::function<void()>& task) { task(); }),
      routes_(std::move(routes)) {}

FaultProxy::~FaultProxy() {
  loop_->Stop();
  if (thread_.joinable()) {
    thread_.join();
  }
  connections_.clear();
  for (const auto& listener : listeners_) {
    evconnlistener_free(listener->listener);
  }
}

bool FaultProxy::Start() {
  constexpr int kBacklog = 256;
  for (const Route& route : routes_) {
    auto listener = std::make_unique<Listener>(Listener{this, route, nullptr});
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(route.listen.port);
    inet_pton(AF_INET, route.listen.address.c_str(), &address.sin_addr);
    const auto on_accept = [](evconnlistener* /*listener*/, int fd,
                              sockaddr* source, int /*size*/, void* context) {
      char text[INET_ADDRSTRLEN] = {};
      inet_ntop(AF_INET, &reinterpret_cast<sockaddr_in*>(source)->sin_addr,
                text, sizeof text);
      auto* accepting = static_cast<Listener*>(context);
      accepting->proxy->Accept(fd, text, accepting->route);
    };
    listener->listener = evconnlistener_new_bind(
        loop_->base(), on_accept, listener.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        kBacklog, reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (listener->listener == nullptr) {
      return false;
    }
    listeners_.push_back(std::move(listener));
  }
  thread_ = std::thread([this] { loop_->Run(); });
  return true;
}

void FaultProxy::Begin(int id, const LinkFault& fault) {
  mailbox_.Post([this, id, fault] {
    faults_[id] = {fault, next_serial_};
    ApplyToAll();
  });
}

void FaultProxy::End(int id) {
  mailbox_.Post([this, id] {
    if (faults_.erase(id) > 0) {
      ApplyToAll();
    }
  });
}

void FaultProxy::Accept(int fd, const std::string& source, const Route& route) {
  const auto found = std::find(addresses_.begin(), addresses_.end(), source);
  if (found == addresses_.end()) {
    close(fd);
    return;
  }
  const uint64_t serial = next_serial_++;
  auto connection = std::make_unique<ProxiedConnection>(
      loop_.get(), fd, route.destination, serial,
      static_cast<int>(found - addresses_.begin()), route.process,
      [this](ProxiedConnection* ended) { Remove(ended); });
  ProxiedConnection* pointer = connection.get();
  connections_.emplace(serial, std::move(connection));
  ApplyTo(pointer);
}

void FaultProxy::ApplyTo(ProxiedConnection* connection) const {
  int delay_ms = 0;
  bool forward = false;
  bool backward = false;
  for (const auto& [id, active] : faults_) {
    const LinkFault& fault = active.fault;
    const bool is_new = connection->serial() >= active.first_new_serial;
    if ((fault.sources >> connection->source() & 1) == 0 ||
        (fault.destinations >> connection->destination() & 1) == 0 ||
        (fault.port != 0 && fault.port != connection->port()) ||
        (fault.open_only && is_new)) {
      continue;
    }
    const bool silent = fault.kind == LinkFaultKind::kSilence;
    forward |= silent || fault.kind == LinkFaultKind::kCutForward;
    backward |= silent || fault.kind == LinkFaultKind::kCutBackward;
    delay_ms = std::max(delay_ms, fault.delay_ms);
    if (silent && fault.for_good) {
      connection->SilenceForGood();
    }
    if (fault.kind == LinkFaultKind::kReset) {
      connection->Reset();  // Deletes the connection.
      return;
    }
  }
  connection->SetDelay(delay_ms);
  connection->SetStalled(forward, backward);
}

void FaultProxy::ApplyToAll() {
  // A reset removes connections from the map.
  std::vector<ProxiedConnection*> connections;
  for (const auto& [serial, connection] : connections_) {
    connections.push_back(connection.get());
  }
  for (ProxiedConnection* connection : connections) {
    ApplyTo(connection);
  }
}

void FaultProxy::Remove(ProxiedConnection* connection) {
  connections_.erase(connection->serial());
}

}  // namespace dragonflytack
