#include "dragonflytack/observe/tracer.h"

#include <criterion/criterion.h>

namespace dragonflytack {

// Guards against unbounded memory use under load.
Test(tracer, ring_is_bounded_and_drops_the_oldest) {
  Tracer tracer(1.0, 1);
  for (size_t i = 0; i < Tracer::kMaxSpans + 10; ++i) {
    tracer.Record(Span{.trace_id = i < 10 ? "old" : "new"});
  }
  cr_assert(tracer.Find("old").empty());
  cr_assert_eq(tracer.Find("new").size(), Tracer::kMaxSpans);
  cr_assert_eq(tracer.TakeUnexported().size(), Tracer::kMaxSpans);
  cr_assert(tracer.TakeUnexported().empty());
}

// Guards against the loss of a caller's sampling decision.
Test(tracer, keeps_the_context_of_the_caller) {
  Tracer tracer(0.0, 1);
  const TraceContext given{"0af7651916cd43dd8448eb211c80319c",
                           "b7ad6b7169203331", true};
  cr_assert(tracer.Accept(given.ToHeader()) == given);
  const TraceContext fresh = tracer.Accept("garbage");
  cr_assert(!fresh.sampled);
  cr_assert(TraceContext::Parse(fresh.ToHeader()) == fresh);
  cr_assert(tracer.Accept("").trace_id != fresh.trace_id);
}

}  // namespace dragonflytack
