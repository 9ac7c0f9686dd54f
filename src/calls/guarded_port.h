#ifndef DRAGONFLYTACK_SRC_CALLS_GUARDED_PORT_H_
#define DRAGONFLYTACK_SRC_CALLS_GUARDED_PORT_H_

#include <memory>
#include <string>

#include "base/input_guard.h"

namespace dragonflytack {

class CallHeaderCodec;
class EventLoop;
class InputLedger;
class Logger;
class MetricsRegistry;
struct Settings;

// Returns the time limits of the settings.
InputLedger::Limits InputLimits(const Settings& settings);

// Makes a guard that counts and logs the connections that it drops under the
// name of the port. All pointers must outlive the guard.
std::unique_ptr<InputGuard> MakeInputGuard(EventLoop* loop,
                                           InputLedger* ledger,
                                           InputGuard::Options options,
                                           const std::string& port,
                                           Logger* logger,
                                           MetricsRegistry* metrics);

// Returns the headers with which a request is refused that was not handled.
std::string RefusalHeaders(const CallHeaderCodec& header_codec);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_GUARDED_PORT_H_
