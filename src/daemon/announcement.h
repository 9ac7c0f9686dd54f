#ifndef DRAGONFLYTACK_DAEMON_ANNOUNCEMENT_H_
#define DRAGONFLYTACK_DAEMON_ANNOUNCEMENT_H_

#include <optional>
#include <string>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/calls/local_target.h"

namespace dragonflytack {

// Reads the body of a target's announcement, a JSON object with "service",
// "port", "state" and optionally "slots" and "address". Without an address the
// target is where the request came from, `remote_address`; an address must be
// loopback or the node's own. Returns nothing, with kInvalidArgument and the
// name of the field, when anything is missing, unknown or out of range.
std::optional<LocalTarget> ParseAnnouncement(const std::string& body,
                                             const std::string& remote_address,
                                             const std::string& own_address,
                                             Failure* reason);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ANNOUNCEMENT_H_
