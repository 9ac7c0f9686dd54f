#include "dragonflytack/observe/trace_context.h"

#include <algorithm>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

constexpr size_t kTraceIdDigits = 32;
constexpr size_t kSpanIdDigits = 16;
// The format is "00-<trace id>-<span id>-<flags>", with two digits of flags.
constexpr size_t kHeaderLength = 3 + kTraceIdDigits + 1 + kSpanIdDigits + 3;

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsId(std::string_view text) {
  return IsLowerHex(text) &&
         text.find_first_not_of('0') != std::string_view::npos;
}

}  // namespace

std::optional<TraceContext> TraceContext::Parse(std::string_view traceparent) {
  if (traceparent.size() != kHeaderLength || !traceparent.starts_with("00-") ||
      traceparent[3 + kTraceIdDigits] != '-' ||
      traceparent[kHeaderLength - 3] != '-') {
    return std::nullopt;
  }
  const std::string_view trace_id = traceparent.substr(3, kTraceIdDigits);
  const std::string_view span_id =
      traceparent.substr(4 + kTraceIdDigits, kSpanIdDigits);
  const std::string_view flags = traceparent.substr(kHeaderLength - 2);
  if (!IsId(trace_id) || !IsId(span_id) || !IsLowerHex(flags)) {
    return std::nullopt;
  }
  const char low_digit = flags[1];
  const int low_bits =
      low_digit <= '9' ? low_digit - '0' : low_digit - 'a' + 10;
  return TraceContext{std::string(trace_id), std::string(span_id),
                      (low_bits & 1) != 0};
}

std::string TraceContext::ToHeader() const {
  return fmt::format("00-{}-{}-{}", trace_id, span_id, sampled ? "01" : "00");
}

}  // namespace dragonflytack
