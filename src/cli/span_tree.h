#ifndef DRAGONFLYTACK_CLI_SPAN_TREE_H_
#define DRAGONFLYTACK_CLI_SPAN_TREE_H_

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "dragonflytack/observe/span.h"

namespace dragonflytack {

// Reads one span of GET /trace; nothing when an id is missing.
std::optional<Span> SpanFromJson(const nlohmann::json& value);

// Draws the spans of one trace as a tree: children below their parent, in the
// order of their starts, with times relative to the first start. Spans whose
// parent is not there are roots; repeated span ids are drawn once.
std::string DrawSpanTree(std::vector<Span> spans);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_SPAN_TREE_H_
