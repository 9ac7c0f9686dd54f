#ifndef DRAGONFLYTACK_SRC_CALLS_CALL_SPAN_H_
#define DRAGONFLYTACK_SRC_CALLS_CALL_SPAN_H_

#include <optional>
#include <string>
#include <string_view>

#include "calls/call_context.h"
#include "dragonflytack/observe/span.h"
#include "dragonflytack/observe/trace_context.h"

namespace dragonflytack {

// The span of one hop of a call, from its start to End(). It does nothing if
// the call is not sampled.
class CallSpan final {
 public:
  // `parent` is the trace context with which the call arrived at the hop.
  CallSpan(const CallContext* context,
           const TraceContext& parent,
           const char* name,
           const std::string& service);

  // Returns the context for the next hop, with this span as the parent.
  const TraceContext& context() const { return trace_; }

  void set_target(const NodeId& target, int attempt);

  // Records the span. Further calls do nothing.
  void End(std::string_view outcome);

 private:
  const CallContext* const context_;
  TraceContext trace_;
  std::optional<Span> span_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CALL_SPAN_H_
