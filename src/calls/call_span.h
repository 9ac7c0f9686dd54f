#ifndef DRAGONFLYTACK_SRC_CALLS_CALL_SPAN_H_
#define DRAGONFLYTACK_SRC_CALLS_CALL_SPAN_H_

#include <optional>
#include <string>
#include <string_view>

#include "calls/call_context.h"
#include "dragonflytack/observe/span.h"
#include "dragonflytack/observe/trace_context.h"

namespace dragonflytack {

// The span of one hop while it lasts. It costs nothing for a call that is not
// sampled.
class CallSpan final {
 public:
  // `parent` is the context that the hop arrived with.
  CallSpan(const CallContext* context,
           const TraceContext& parent,
           const char* name,
           const std::string& service);

  // The context for the next hop: this span as its parent.
  const TraceContext& context() const { return trace_; }

  void set_target(const NodeId& target, int attempt);

  // Records the span. Later calls do nothing.
  void End(std::string_view outcome);

 private:
  const CallContext* const context_;
  TraceContext trace_;
  std::optional<Span> span_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CALL_SPAN_H_
