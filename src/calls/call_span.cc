#include "calls/call_span.h"

#include <chrono>
#include <utility>

#include "dragonflytack/observe/tracer.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "routing/router.h"

namespace dragonflytack {

namespace {

int64_t WallMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

CallSpan::CallSpan(const CallContext* context,
                   const TraceContext& parent,
                   const char* name,
                   const std::string& service)
    : context_(context), trace_(parent) {
  if (!parent.sampled) {
    return;
  }
  trace_.span_id = context->tracer->NewSpanId();
  Span& span = span_.emplace();
  span.trace_id = parent.trace_id;
  span.span_id = trace_.span_id;
  span.parent_id = parent.span_id;
  span.name = name;
  span.node = context->node;
  span.service = service;
  const auto& routes = context->router->routes();
  span.table_version = routes == nullptr ? 0 : routes->version;
  span.start_us = WallMicros();
}

void CallSpan::set_target(const NodeId& target, int attempt) {
  if (span_) {
    span_->target = target;
    span_->attempt = attempt;
  }
}

void CallSpan::End(std::string_view outcome) {
  if (span_) {
    span_->outcome = outcome;
    span_->end_us = WallMicros();
    context_->tracer->Record(*std::move(span_));
    span_.reset();
  }
}

}  // namespace dragonflytack
