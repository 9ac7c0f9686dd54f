#include "relay.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace review {

Relay::Relay(const std::string& address,
             uint16_t port,
             std::string to,
             uint16_t to_port)
    : to_(std::move(to)),
      to_port_(to_port),
      server_(std::make_unique<Server>(address, port, [this](int socket) {
        Serve(socket);
      })) {}

void Relay::Serve(int socket) {
  const uint64_t generation = generation_;
  const int store = Connect(to_, to_port_, 1);
  if (store < 0) {
    return;
  }
  char bytes[65536];
  bool is_open = true;
  while (is_open) {
    pollfd ready[] = {{socket, POLLIN, 0}, {store, POLLIN, 0}};
    poll(ready, 2, 100);
    for (int i = 0; i < 2 && is_open; ++i) {
      if ((ready[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) {
        continue;
      }
      const ssize_t size = recv(ready[i].fd, bytes, sizeof(bytes), 0);
      is_open = size > 0 || (i == 1 && generation != generation_);
      if (size > 0 && generation == generation_) {
        SendAll(ready[1 - i].fd, std::string(bytes, static_cast<size_t>(size)));
      } else if (size <= 0 && i == 1) {
        // The end of a silent connection is not passed on either.
        SleepFor(0.1);
      }
    }
  }
  close(store);
}

}  // namespace review
