#ifndef DRAGONFLYTACK_TOOLS_TARGET_STANDIN_TARGET_STANDIN_H_
#define DRAGONFLYTACK_TOOLS_TARGET_STANDIN_TARGET_STANDIN_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "calls/connection_pool.h"
#include "calls/deferred_deleter.h"
#include "calls/http_server.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/random.h"
#include "target_standin/execution_counts.h"
#include "target_standin/standin_options.h"
#include "target_standin/standin_switches.h"

namespace dragonflytack {

// A target for tests and measurements. Responds to every call after the service
// time with a JSON body {"target", "service", "request_id", "chain"}. With the
// header x-chain: a,b it first calls service a with x-chain: b and puts the
// response under "chain". GET /standin/counts, GET /standin/executions and POST
// /standin/switch are for the test that runs the stand-in.
class TargetStandin final {
 public:
  // Returns null if the address cannot be bound. `loop` must outlive the
  // stand-in.
  static std::unique_ptr<TargetStandin> Make(EventLoop* loop,
                                             const StandinOptions& options,
                                             Failure* reason);
  ~TargetStandin();
  TargetStandin(const TargetStandin&) = delete;
  TargetStandin& operator=(const TargetStandin&) = delete;

  // Announces the state "draining", finishes the calls in progress, announces
  // the state "left", then calls `on_left`.
  void Leave(std::function<void()> on_left);

  const ExecutionCounts& counts() const { return counts_; }
  void set_switches(const StandinSwitches& switches);

 private:
  class Call;

  TargetStandin(EventLoop* loop, const StandinOptions& options);
  void OnRequest(evhttp_request* request);
  void HandleSwitch(evhttp_request* request);
  void OnServiceTimeElapsed(Call* call);
  void CallNextService(Call* call, const std::string& chain);
  void OnChainResponse(Call* call,
                       ExchangeOutcome outcome,
                       HttpRequestPtr response);
  void Respond(Call* call, int status, const std::string& chain_body);
  void Remove(Call* call);
  const char* AnnouncedState() const;
  void Announce();
  void FinishLeavingIfIdle();

  EventLoop* const loop_;
  const StandinOptions options_;
  const TimePoint started_;
  DeferredDeleter deleter_;
  ConnectionPool connections_;
  Random random_;
  StandinSwitches switches_;
  ExecutionCounts counts_;
  std::unordered_map<Call*, std::unique_ptr<Call>> calls_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<Exchange> announcement_;
  TimerId announce_timer_ = 0;
  TimerId leave_timer_ = 0;
  std::function<void()> on_left_;
  bool leaving_ = false;
  bool left_ = false;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TOOLS_TARGET_STANDIN_TARGET_STANDIN_H_
