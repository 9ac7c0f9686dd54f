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

void Relay::TurnAway(int socket) {
  Reader reader(socket);
  Message request;
  while (turns_away_ && reader.Read(Clock::now() + std::chrono::seconds(10),
                                    false, &request)) {
    if (!SendAll(socket, Response(503, {}, ""))) {
      return;
    }
  }
}

void Relay::Serve(int socket) {
  if (turns_away_) {
    TurnAway(socket);
    return;
  }
  const uint64_t generation = generation_;
  const int store = Connect(to_, to_port_, 1);
  if (store < 0) {
    return;
  }
  char bytes[65536];
  bool is_open = true;
  bool has_watch = false;
  while (is_open && !turns_away_) {
    pollfd ready[] = {{socket, POLLIN, 0}, {store, POLLIN, 0}};
    poll(ready, 2, 20);
    for (int i = 0; i < 2 && is_open; ++i) {
      if ((ready[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) {
        continue;
      }
      const ssize_t size = recv(ready[i].fd, bytes, sizeof(bytes), 0);
      is_open = size > 0 || (i == 1 && generation != generation_);
      if (size > 0 && generation == generation_) {
        const std::string text(bytes, static_cast<size_t>(size));
        watches_ -= has_watch ? 1 : 0;
        has_watch = i == 0 && text.find("?watch=") != std::string::npos;
        watches_ += has_watch ? 1 : 0;
        SendAll(ready[1 - i].fd, text);
      } else if (size <= 0 && i == 1) {
        // The end of a silent connection is not passed on either.
        SleepFor(0.1);
      }
    }
  }
  watches_ -= has_watch ? 1 : 0;
  close(store);
}

}  // namespace review
