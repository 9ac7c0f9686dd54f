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

// Keeps the most recent spans of sampled calls in a bounded ring. Safe to use
// from every thread.
class Tracer final {
 public:
  static constexpr size_t kMaxSpans = 2048;

  // `sample` is the share of calls without a traceparent that are sampled, 0
  // to 1.
  Tracer(double sample, uint64_t seed);
  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;

  // Returns the context of a call that arrives with the given header, which may
  // be empty or malformed; then a new trace begins.
  TraceContext Accept(std::string_view traceparent);

  // Returns a new id of 16 hexadecimal digits.
  std::string NewSpanId();

  // Keeps a finished span. The oldest one is dropped when the ring is full.
  void Record(Span span);

  // Returns the kept spans of a trace, oldest first.
  std::vector<Span> Find(const std::string& trace_id) const;

  // Returns and forgets the spans that were recorded since the last call, for
  // export.
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
