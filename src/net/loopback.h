#ifndef DRAGONFLYTACK_NET_LOOPBACK_H_
#define DRAGONFLYTACK_NET_LOOPBACK_H_

#include <string>

namespace dragonflytack {

// Tells whether an IP number is in 127.0.0.0/8 or is ::1.
bool IsLoopback(const std::string& address);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_LOOPBACK_H_
