#ifndef DRAGONFLYTACK_DAEMON_ANNOUNCEMENT_H_
#define DRAGONFLYTACK_DAEMON_ANNOUNCEMENT_H_

#include <optional>
#include <string>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/calls/local_target.h"

namespace dragonflytack {

// Parses the body of a target's announcement, a JSON object with "service",
// "port", "state" and optionally "slots", "address" and "release". The address
// defaults to `remote_address`, from which the request came; it must be a
// loopback address or `own_address`, the address of the node. Returns
// std::nullopt, with kInvalidArgument and the name of the field in `reason`, if
// a field is missing, unknown or out of range.
std::optional<LocalTarget> ParseAnnouncement(const std::string& body,
                                             const std::string& remote_address,
                                             const std::string& own_address,
                                             Failure* reason);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ANNOUNCEMENT_H_
