#ifndef DRAGONFLYTACK_DAEMON_LOOP_SIGNALS_H_
#define DRAGONFLYTACK_DAEMON_LOOP_SIGNALS_H_

#include <array>
#include <csignal>

namespace dragonflytack {

// The signals that the daemon handles in its event loop.
inline constexpr std::array<int, 3> kLoopSignals = {SIGTERM, SIGINT, SIGHUP};

// Blocks the loop signals in the calling thread and in threads that it starts.
// A signal that arrives stays pending, so that it is not lost and does not end
// the process before a handler is registered.
void BlockLoopSignals();

// Unblocks the loop signals in the calling thread. Pending ones are delivered
// within the call.
void UnblockLoopSignals();

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_LOOP_SIGNALS_H_
