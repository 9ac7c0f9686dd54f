#include "base/connection_limits.h"

#include <sys/resource.h>

#include <algorithm>

#include "dragonflytack/base/settings.h"

namespace dragonflytack {

namespace {

// A node has about 30 links, a few store connections, and one connection for
// each call in flight to a target or node. A quarter of the smallest limit of a
// deployment, 4,100, suffices for these and for accepted links.
constexpr size_t kMaxReserve = 1024;
// Operators, collectors of metrics and health checks hold a few connections.
constexpr size_t kMinControl = 4;
constexpr size_t kMaxControl = 64;
// The rest beyond a node's own links is for nodes that request a snapshot.
constexpr size_t kMaxPeers = 256;
constexpr size_t kUnlimited = 1 << 20;

}  // namespace

ConnectionLimits ConnectionLimits::FromDescriptors(size_t descriptors) {
  const size_t usable = descriptors - std::min(kMaxReserve, descriptors / 4);
  return {.calls = usable * 3 / 8,
          .control = std::clamp(usable / 16, kMinControl, kMaxControl),
          .peers = std::min(kMaxPeers, descriptors / 8)};
}

ConnectionLimits ConnectionLimits::FromSettings(const Settings& settings) {
  rlimit descriptors{};
  ConnectionLimits limits =
      FromDescriptors(getrlimit(RLIMIT_NOFILE, &descriptors) == 0 &&
                              descriptors.rlim_cur < kUnlimited
                          ? static_cast<size_t>(descriptors.rlim_cur)
                          : kUnlimited);
  if (settings.max_connections > 0) {
    limits.calls =
        std::min(limits.calls, static_cast<size_t>(settings.max_connections));
  }
  if (settings.control_max_connections > 0) {
    limits.control = std::min(
        limits.control, static_cast<size_t>(settings.control_max_connections));
  }
  return limits;
}

}  // namespace dragonflytack
