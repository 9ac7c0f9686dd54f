#include "dragonflytack/observe/otlp_json.h"

#include <cstdint>

#include <nlohmann/json.hpp>

namespace dragonflytack {

namespace {

using Json = nlohmann::json;

// Values of Span.SpanKind and Status.StatusCode in opentelemetry-proto.
constexpr int kSpanKindServer = 2;
constexpr int kSpanKindClient = 3;
constexpr int kStatusOk = 1;
constexpr int kStatusError = 2;

Json StringAttribute(const char* key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

// OTLP/JSON represents 64-bit integers as strings.
Json IntAttribute(const char* key, uint64_t value) {
  return {{"key", key}, {"value", {{"intValue", std::to_string(value)}}}};
}

std::string Nanoseconds(int64_t microseconds) {
  return std::to_string(microseconds * 1000);
}

Json SpanJson(const Span& span) {
  Json attributes = {
      StringAttribute("service", span.service),
      StringAttribute("outcome", span.outcome),
      IntAttribute("table.version", span.table_version),
      IntAttribute("attempt", static_cast<uint64_t>(span.attempt)),
  };
  if (!span.target.empty()) {
    attributes.push_back(StringAttribute("target", span.target));
  }
  Json json = {
      {"traceId", span.trace_id},
      {"spanId", span.span_id},
      {"name", span.name},
      {"kind", span.name == "attempt" ? kSpanKindClient : kSpanKindServer},
      {"startTimeUnixNano", Nanoseconds(span.start_us)},
      {"endTimeUnixNano", Nanoseconds(span.end_us)},
      {"attributes", std::move(attributes)},
      {"status", {{"code", span.outcome == "done" ? kStatusOk : kStatusError}}},
  };
  if (!span.parent_id.empty()) {
    json["parentSpanId"] = span.parent_id;
  }
  return json;
}

}  // namespace

std::string RenderOtlpJson(const std::string& node,
                           const std::string& region,
                           const std::string& data_centre,
                           const std::vector<Span>& spans) {
  Json span_list = Json::array();
  for (const Span& span : spans) {
    span_list.push_back(SpanJson(span));
  }
  const Json resource = {
      {"attributes",
       {StringAttribute("service.name", "dragonflytack"),
        StringAttribute("service.instance.id", node),
        StringAttribute("cloud.region", region),
        StringAttribute("cloud.availability_zone", data_centre)}}};
  const Json scope_spans = {{"scope", {{"name", "dragonflytack"}}},
                            {"spans", std::move(span_list)}};
  const Json body = {
      {"resourceSpans",
       {{{"resource", resource}, {"scopeSpans", Json::array({scope_spans})}}}}};
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace dragonflytack
