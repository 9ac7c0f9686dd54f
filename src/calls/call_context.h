#ifndef DRAGONFLYTACK_SRC_CALLS_CALL_CONTEXT_H_
#define DRAGONFLYTACK_SRC_CALLS_CALL_CONTEXT_H_

#include <functional>
#include <string>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

class AttemptGuard;
class AttemptIdGenerator;
class CallHeaderCodec;
class CallMetrics;
class ConnectionPool;
class DeferredDeleter;
class EventLoop;
class Logger;
class RetryShare;
class Router;
class Tracer;

// What the parts of one call task share. All pointers outlive every call.
struct CallContext final {
  NodeId node;
  // Service of the target beside this node; empty when the settings name none.
  std::string service;
  EventLoop* loop = nullptr;
  DeferredDeleter* deleter = nullptr;
  Router* router = nullptr;
  ConnectionPool* connections = nullptr;
  Logger* logger = nullptr;
  CallMetrics* metrics = nullptr;
  Tracer* tracer = nullptr;
  const CallHeaderCodec* header_codec = nullptr;
  RetryShare* retry_share = nullptr;
  // Of one-time calls: those this node dispatches, and those it got.
  AttemptIdGenerator* attempts = nullptr;
  AttemptGuard* guard = nullptr;
  // Reports an endpoint that is left out for `period`. May be empty.
  std::function<void(const std::string& service,
                     const NodeId& target,
                     Milliseconds period)>
      on_ejected;
  // Reports that the local target takes no connection or that another one has
  // its address. May be empty.
  std::function<void()> on_target_lost;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CALL_CONTEXT_H_
