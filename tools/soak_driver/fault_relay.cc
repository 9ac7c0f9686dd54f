#include "soak_driver/fault_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include <event2/listener.h>

#include "soak_driver/relayed_connection.h"

namespace dragonflytack {

FaultRelay::FaultRelay(std::vector<Path> paths)
    : loop_(EventLoop::Make(&clock_)),
      mailbox_(loop_.get(), [](const std::function<void()>& task) { task(); }),
      paths_(std::move(paths)) {}

FaultRelay::~FaultRelay() {
  loop_->Stop();
  if (thread_.joinable()) {
    thread_.join();
  }
  connections_.clear();
  for (const auto& listener : listeners_) {
    evconnlistener_free(listener->listener);
  }
}

bool FaultRelay::Start() {
  constexpr int kBacklog = 256;
  for (const Path& path : paths_) {
    auto listener = std::make_unique<Listener>(Listener{this, path, nullptr});
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(path.listen.port);
    inet_pton(AF_INET, path.listen.address.c_str(), &address.sin_addr);
    const auto on_accept = [](evconnlistener* /*listener*/, int fd,
                              sockaddr* /*source*/, int /*size*/,
                              void* context) {
      const auto* accepting = static_cast<Listener*>(context);
      accepting->relay->Accept(fd, accepting->path);
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

void FaultRelay::Begin(int id, const RelayFault& fault) {
  mailbox_.Post([this, id, fault] {
    faults_[id] = {fault, next_serial_};
    ApplyToAll();
  });
}

void FaultRelay::End(int id) {
  mailbox_.Post([this, id] {
    if (faults_.erase(id) > 0) {
      ApplyToAll();
    }
  });
}

void FaultRelay::Accept(int fd, const Path& path) {
  const uint64_t serial = next_serial_++;
  auto connection = std::make_unique<RelayedConnection>(
      loop_.get(), fd, path.destination, serial, path.route, path.node,
      [this](RelayedConnection* ended) { Remove(ended); });
  RelayedConnection* pointer = connection.get();
  connections_.emplace(serial, std::move(connection));
  ApplyTo(pointer);
}

void FaultRelay::ApplyTo(RelayedConnection* connection) const {
  int delay_ms = 0;
  bool forward = false;
  bool backward = false;
  for (const auto& [id, active] : faults_) {
    const RelayFault& fault = active.fault;
    const bool is_new = connection->serial() >= active.first_new_serial;
    if ((fault.nodes >> connection->node() & 1) == 0 ||
        fault.route != connection->route() || (fault.open_only && is_new)) {
      continue;
    }
    const bool silent = fault.kind == RelayFaultKind::kSilence;
    forward |= silent || fault.kind == RelayFaultKind::kCutForward;
    backward |= silent || fault.kind == RelayFaultKind::kCutBackward;
    delay_ms = std::max(delay_ms, fault.delay_ms);
    if (silent && fault.for_good) {
      connection->SilenceForGood();
    }
    if (fault.kind == RelayFaultKind::kReset) {
      connection->Reset();  // Deletes the connection.
      return;
    }
  }
  connection->SetDelay(delay_ms);
  connection->SetStalled(forward, backward);
}

void FaultRelay::ApplyToAll() {
  // A reset removes connections from the map.
  std::vector<RelayedConnection*> connections;
  for (const auto& [serial, connection] : connections_) {
    connections.push_back(connection.get());
  }
  for (RelayedConnection* connection : connections) {
    ApplyTo(connection);
  }
}

void FaultRelay::Remove(RelayedConnection* connection) {
  connections_.erase(connection->serial());
}

}  // namespace dragonflytack
