#include "cli/span_tree.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/fleet.h"
#include "cli/text_table.h"

namespace dragonflytack {

namespace {

constexpr double kMicrosPerMilli = 1000;

class TreeDrawer final {
 public:
  explicit TreeDrawer(std::vector<Span> spans) : spans_(std::move(spans)) {
    std::sort(spans_.begin(), spans_.end(), [](const Span& a, const Span& b) {
      return std::tie(a.start_us, a.span_id) < std::tie(b.start_us, b.span_id);
    });
    for (const Span& span : spans_) {
      by_id_.emplace(span.span_id, &span);
      children_[span.parent_id].push_back(&span);
    }
  }

  std::string Draw() {
    for (const Span& span : spans_) {
      if (!by_id_.contains(span.parent_id)) {
        DrawSpan(span, 0);
      }
    }
    // The spans that are not drawn yet have themselves as ancestors.
    for (const Span& span : spans_) {
      DrawSpan(span, 0);
    }
    return table_.ToString();
  }

 private:
  void DrawSpan(const Span& span, size_t depth) {
    if (!drawn_.insert(span.span_id).second) {
      return;
    }
    table_.Add({std::string(2 * depth, ' ') + span.name,
                RelativeMillis(span.start_us),
                fmt::format("{:.3f}",
                            static_cast<double>(span.end_us - span.start_us) /
                                kMicrosPerMilli),
                span.node, span.service, span.target,
                span.attempt > 0 ? std::to_string(span.attempt) : "",
                span.outcome, std::to_string(span.table_version)});
    for (const Span* child : children_[span.span_id]) {
      DrawSpan(*child, depth + 1);
    }
  }

  std::string RelativeMillis(int64_t start_us) const {
    return fmt::format("{:.3f}",
                       static_cast<double>(start_us - spans_.front().start_us) /
                           kMicrosPerMilli);
  }

  std::vector<Span> spans_;
  std::map<std::string, const Span*> by_id_;
  std::map<std::string, std::vector<const Span*>> children_;
  std::set<std::string> drawn_;
  TextTable table_{{"span", "start ms", "took ms", "node", "service", "target",
                    "attempt", "outcome", "version"}};
};

int64_t SignedMember(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_number_integer()
             ? found->get<int64_t>()
             : 0;
}

}  // namespace

std::optional<Span> SpanFromJson(const nlohmann::json& value) {
  Span span;
  span.trace_id = TextMember(value, "trace_id");
  span.span_id = TextMember(value, "span_id");
  if (span.span_id.empty()) {
    return std::nullopt;
  }
  span.parent_id = TextMember(value, "parent_id");
  span.name = TextMember(value, "name");
  span.node = TextMember(value, "node");
  span.service = TextMember(value, "service");
  span.target = TextMember(value, "target");
  span.attempt = static_cast<int>(SignedMember(value, "attempt"));
  span.outcome = TextMember(value, "outcome");
  span.table_version = NumberMember(value, "table_version");
  span.start_us = SignedMember(value, "start_us");
  span.end_us = SignedMember(value, "end_us");
  return span;
}

std::string DrawSpanTree(std::vector<Span> spans) {
  return TreeDrawer(std::move(spans)).Draw();
}

}  // namespace dragonflytack
