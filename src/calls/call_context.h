#ifndef DRAGONFLYTACK_SRC_CALLS_CALL_CONTEXT_H_
#define DRAGONFLYTACK_SRC_CALLS_CALL_CONTEXT_H_

#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

class CallMetrics;
class ConnectionPool;
class DeferredDeleter;
class EventLoop;
class Logger;
class Router;
class Tracer;

// What the parts of one call task share. All pointers outlive every call.
struct CallContext final {
  NodeId node;
  EventLoop* loop = nullptr;
  DeferredDeleter* deleter = nullptr;
  Router* router = nullptr;
  ConnectionPool* connections = nullptr;
  Logger* logger = nullptr;
  CallMetrics* metrics = nullptr;
  Tracer* tracer = nullptr;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CALL_CONTEXT_H_
