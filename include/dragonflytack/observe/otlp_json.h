#ifndef DRAGONFLYTACK_OBSERVE_OTLP_JSON_H_
#define DRAGONFLYTACK_OBSERVE_OTLP_JSON_H_

#include <string>
#include <vector>

#include "dragonflytack/observe/span.h"

namespace dragonflytack {

// Returns the JSON body of an OTLP/HTTP export request (opentelemetry-proto,
// ExportTraceServiceRequest) for spans of one node.
std::string RenderOtlpJson(const std::string& node,
                           const std::string& region,
                           const std::string& data_centre,
                           const std::vector<Span>& spans);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_OBSERVE_OTLP_JSON_H_
