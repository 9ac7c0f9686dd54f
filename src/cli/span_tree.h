#ifndef DRAGONFLYTACK_CLI_SPAN_TREE_H_
#define DRAGONFLYTACK_CLI_SPAN_TREE_H_

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "dragonflytack/observe/span.h"

namespace dragonflytack {

// Parses one span of a response to GET /trace. Returns std::nullopt if its id
// is missing.
std::optional<Span> SpanFromJson(const nlohmann::json& value);

// Draws the spans of one trace as a tree: children below their parent, ordered
// by start time, with times relative to the earliest start. Spans whose parent
// is not in `spans` are roots; spans with the same id are drawn once.
std::string DrawSpanTree(std::vector<Span> spans);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_SPAN_TREE_H_
