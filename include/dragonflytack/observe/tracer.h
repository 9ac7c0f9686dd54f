#ifndef DRAGONFLYTACK_OBSERVE_TRACER_H_
#define DRAGONFLYTACK_OBSERVE_TRACER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflytack/base/random.h"
#include "dragonflytack/observe/span.h"
#include "dragonflytack/observe/trace_context.h"

namespace dragonflytack {

// Stores the most recent spans of sampled calls in a ring of at most kMaxSpans.
// Safe to use from every thread.
class Tracer final {
 public:
  static constexpr size_t kMaxSpans = 2048;

  // `sample` is the fraction, from 0 to 1, of calls without a traceparent that
  // are sampled.
  Tracer(double sample, uint64_t seed);
  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;

  // Returns the trace context of a call with the given header value. If the
  // value is empty or malformed, starts a new trace.
  TraceContext Accept(std::string_view traceparent);

  // Returns a new id of 16 hexadecimal digits.
  std::string NewSpanId();

  // Stores a finished span. Drops the oldest one if the ring is full.
  void Record(Span span);

  // Returns the stored spans of a trace, oldest first.
  std::vector<Span> Find(const std::string& trace_id) const;

  // Returns the spans that were recorded since the last call, for export. They
  // remain in the ring.
  std::vector<Span> TakeUnexported();

 private:
  std::string RandomId(int digits);

  const double sample_;
  mutable std::mutex mutex_;
  Random random_;
  std::deque<Span> spans_;
  // Number of spans at the back of the ring that have not been exported.
  size_t unexported_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_OBSERVE_TRACER_H_
