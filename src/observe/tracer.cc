#include "dragonflytack/observe/tracer.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace dragonflytack {

Tracer::Tracer(double sample, uint64_t seed) : sample_(sample), random_(seed) {}

TraceContext Tracer::Accept(std::string_view traceparent) {
  if (std::optional<TraceContext> context = TraceContext::Parse(traceparent)) {
    return *std::move(context);
  }
  std::lock_guard<std::mutex> lock(mutex_);
  return TraceContext{RandomId(32), RandomId(16), random_.Unit() < sample_};
}

std::string Tracer::NewSpanId() {
  std::lock_guard<std::mutex> lock(mutex_);
  return RandomId(16);
}

void Tracer::Record(Span span) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (spans_.size() == kMaxSpans) {
    spans_.pop_front();
  }
  spans_.push_back(std::move(span));
  unexported_ = std::min(unexported_ + 1, kMaxSpans);
}

std::vector<Span> Tracer::Find(const std::string& trace_id) const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Span> found;
  for (const Span& span : spans_) {
    if (span.trace_id == trace_id) {
      found.push_back(span);
    }
  }
  return found;
}

std::vector<Span> Tracer::TakeUnexported() {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto first = spans_.end() - static_cast<std::ptrdiff_t>(unexported_);
  unexported_ = 0;
  return {first, spans_.end()};
}

std::string Tracer::RandomId(int digits) {
  std::string id;
  for (int i = 0; i < digits; i += 16) {
    // Avoids 0, because an id that consists of zeros only is invalid.
    id += fmt::format("{:016x}", 1 + random_.Below(UINT64_MAX));
  }
  return id;
}

}  // namespace dragonflytack
