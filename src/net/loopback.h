#ifndef DRAGONFLYTACK_NET_LOOPBACK_H_
#define DRAGONFLYTACK_NET_LOOPBACK_H_

#include <string>

namespace dragonflytack {

// Returns true if `address` is an IP address in 127.0.0.0/8 or is ::1.
bool IsLoopback(const std::string& address);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_LOOPBACK_H_
