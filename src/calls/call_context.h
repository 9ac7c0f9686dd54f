#ifndef DRAGONFLYTACK_SRC_CALLS_CALL_CONTEXT_H_
#define DRAGONFLYTACK_SRC_CALLS_CALL_CONTEXT_H_

#include <cstddef>
#include <functional>
#include <string>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

class AllowanceExchange;
class AttemptGuard;
class AttemptIdGenerator;
class BufferBudget;
class CallAddressing;
class CallHeaderCodec;
class CallMetrics;
class ConnectionPool;
class DeferredDeleter;
class EventLoop;
class Logger;
class ResponseWrites;
class RetryShare;
class Router;
class Tracer;

// Objects shared by the components of one call task. All pointers outlive every
// call.
struct CallContext final {
  NodeId node;
  // Service of the target beside this node; empty if the settings name none.
  std::string service;
  EventLoop* loop = nullptr;
  DeferredDeleter* deleter = nullptr;
  Router* router = nullptr;
  ConnectionPool* connections = nullptr;
  Logger* logger = nullptr;
  CallMetrics* metrics = nullptr;
  Tracer* tracer = nullptr;
  const CallHeaderCodec* header_codec = nullptr;
  const CallAddressing* addressing = nullptr;
  // Whether the call port offers the interface of one-time keys.
  bool has_one_time_keys = false;
  RetryShare* retry_share = nullptr;
  // Limits of accounts over the whole fleet; null if they are not enforced.
  AllowanceExchange* allowances = nullptr;
  // Memory for messages that are not passed on; null for no limit.
  BufferBudget* budget = nullptr;
  // Requests of one connection of the call port that are processed at once.
  size_t max_pipelined = 1;
  // The responses to callers and nodes that are being written.
  ResponseWrites* response_writes = nullptr;
  // For the attempts of one-time calls: the ids of those that this node
  // dispatches, and the guard of those that it receives.
  AttemptIdGenerator* attempt_ids = nullptr;
  AttemptGuard* attempt_guard = nullptr;
  // Reports an endpoint that is ejected for `period`. May be empty. This and
  // the next function are called in the middle of the processing of a call, so
  // they must not act on the objects of the call task.
  std::function<void(const std::string& service,
                     const NodeId& target,
                     Milliseconds period)>
      on_ejected;
  // Reports that the local target accepts no connection or that another target
  // uses its address. May be empty.
  std::function<void()> on_target_lost;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CALL_CONTEXT_H_
