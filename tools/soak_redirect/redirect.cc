// A library that is preloaded into a daemon of the soak run. It redirects the
// daemon's connections to other processes of its fleet to the fault proxy,
// which listens at the same port on the next /16 network, and binds them to the
// daemon's own address, by which the proxy recognises it.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdint>
#include <cstdlib>

namespace {

using ConnectFunction = int (*)(int, const sockaddr*, socklen_t);

constexpr uint32_t kNetworkMask = 0xffff0000;
constexpr uint32_t kNextNetwork = 0x00010000;

ConnectFunction RealConnect() {
  static const auto real =
      reinterpret_cast<ConnectFunction>(dlsym(RTLD_NEXT, "connect"));
  return real;
}

uint32_t OwnAddress() {
  static const uint32_t address = [] {
    const char* text = std::getenv("SOAK_NODE_ADDRESS");
    return text == nullptr ? 0 : ntohl(inet_addr(text));
  }();
  return address;
}

}  // namespace

extern "C" int connect(int fd, const sockaddr* address, socklen_t size) {
  if (address == nullptr || address->sa_family != AF_INET ||
      size < sizeof(sockaddr_in)) {
    return RealConnect()(fd, address, size);
  }
  sockaddr_in redirected = *reinterpret_cast<const sockaddr_in*>(address);
  const uint32_t host = ntohl(redirected.sin_addr.s_addr);
  if ((host & kNetworkMask) != (OwnAddress() & kNetworkMask)) {
    return RealConnect()(fd, address, size);
  }
  sockaddr_in source{};
  source.sin_family = AF_INET;
  source.sin_addr.s_addr = htonl(OwnAddress());
  // The port is chosen at the connect, so that it only has to be unique for the
  // destination.
  const int on = 1;
  setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
  // EINVAL: the caller has bound the socket itself.
  if (bind(fd, reinterpret_cast<const sockaddr*>(&source), sizeof source) !=
          0 &&
      errno != EINVAL) {
    return -1;
  }
  redirected.sin_addr.s_addr = htonl(host + kNextNetwork);
  return RealConnect()(fd, reinterpret_cast<const sockaddr*>(&redirected),
                       sizeof redirected);
}
