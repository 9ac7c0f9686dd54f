#include "net/loopback.h"

#include <arpa/inet.h>

namespace dragonflytack {

bool IsLoopback(const std::string& address) {
  constexpr uint32_t kLoopbackNet = 127;
  constexpr int kNetShift = 24;
  // inet_pton() would parse only the part before a NUL character.
  if (address.find('\0') != std::string::npos) {
    return false;
  }
  in_addr v4;
  if (inet_pton(AF_INET, address.c_str(), &v4) == 1) {
    return ntohl(v4.s_addr) >> kNetShift == kLoopbackNet;
  }
  in6_addr v6;
  return inet_pton(AF_INET6, address.c_str(), &v6) == 1 &&
         IN6_IS_ADDR_LOOPBACK(&v6);
}

}  // namespace dragonflytack
