#ifndef DRAGONFLYTACK_OBSERVE_TRACE_CONTEXT_H_
#define DRAGONFLYTACK_OBSERVE_TRACE_CONTEXT_H_

#include <optional>
#include <string>
#include <string_view>

namespace dragonflytack {

// The W3C trace context of a call, as transmitted in the header "traceparent".
struct TraceContext final {
  std::string trace_id;  // 32 hexadecimal digits
  std::string span_id;   // 16 hexadecimal digits, the parent of the next span
  bool sampled = false;

  // Parses a header value. Returns std::nullopt if it is malformed or an id
  // consists of zeros only.
  static std::optional<TraceContext> Parse(std::string_view traceparent);

  std::string ToHeader() const;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_OBSERVE_TRACE_CONTEXT_H_
