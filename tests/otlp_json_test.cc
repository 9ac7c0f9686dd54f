#include "dragonflytack/observe/otlp_json.h"

#include <string>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

namespace dragonflytack {

// Guards against a body that a collector would reject: 64-bit integers must be
// strings, and the root span must not name a parent.
Test(otlp_json, follows_the_protocol_shape) {
  const Span root{.trace_id = std::string(32, 'a'),
                  .span_id = std::string(16, 'b'),
                  .name = "entry",
                  .node = "n1",
                  .service = "roster",
                  .outcome = "done",
                  .table_version = 7,
                  .start_us = 1'700'000'000'000'000,
                  .end_us = 1'700'000'000'001'000};
  Span child = root;
  child.parent_id = root.span_id;
  child.name = "attempt";
  child.outcome = "overloaded";
  const auto body = nlohmann::json::parse(
      RenderOtlpJson("n1", "kigali", "k1", {root, child}));
  const auto& spans = body["resourceSpans"][0]["scopeSpans"][0]["spans"];
  cr_assert_eq(spans.size(), 2u);
  cr_assert(!spans[0].contains("parentSpanId"));
  cr_assert(spans[1]["parentSpanId"] == root.span_id);
  cr_assert(spans[0]["startTimeUnixNano"] == "1700000000000000000");
  cr_assert(spans[0]["status"]["code"] == 1);
  cr_assert(spans[1]["status"]["code"] == 2);
  cr_assert(spans[0]["attributes"][2]["value"]["intValue"] == "7");
}

}  // namespace dragonflytack
