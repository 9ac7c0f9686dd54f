#include <algorithm>
#include <ostream>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/fleet.h"
#include "cli/span_tree.h"
#include "cli/tool_context.h"
#include "cli/verb.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

constexpr size_t kTraceIdDigits = 32;

class TraceVerb final : public Verb {
 public:
  std::string Notes() const override {
    return "The id is the second part of the header traceparent: 32 "
           "hexadecimal digits.\n";
  }

  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map&,
               ToolContext* context) const override {
    const std::string& id = arguments[0];
    Failure reason;
    if (id.size() != kTraceIdDigits ||
        id.find_first_not_of("0123456789abcdef") != std::string::npos) {
      return context->Fail(Failure{FailureCode::kInvalidArgument, id,
                                   "a trace id has 32 hexadecimal digits"});
    }
    const std::optional<HostPort> node = context->Node(&reason);
    if (!node) {
      return context->Fail(reason);
    }
    AdminFetcher fetcher(context->loop(), context->options().shared_key);
    const auto nodes =
        FetchNodes(&fetcher, *node, context->options().timeout, &reason);
    if (!nodes) {
      return context->Fail(reason);
    }
    std::vector<HostPort> addresses;
    for (const FleetNode& item : *nodes) {
      if (item.IsExpected()) {
        addresses.push_back(item.admin);
      }
    }
    std::vector<Span> spans;
    json list = json::array();
    size_t unresponsive = 0;
    for (const AdminReply& response : fetcher.FetchAll(
             addresses, "/trace?id=" + id, context->options().timeout)) {
      unresponsive += response.value ? 0 : 1;
      for (const json& item : response.value
                                  ? MemberOrSelf(*response.value, "spans")
                                  : json::array()) {
        if (std::optional<Span> span = SpanFromJson(item)) {
          spans.push_back(*std::move(span));
          list.push_back(item);
        }
      }
    }
    if (context->options().json) {
      context->PrintJson({{"trace_id", id},
                          {"nodes_asked", addresses.size()},
                          {"nodes_silent", unresponsive},
                          {"spans", std::move(list)}});
    } else if (!spans.empty()) {
      context->out() << DrawSpanTree(spans);
    }
    if (unresponsive > 0 && !context->options().json) {
      context->err() << fmt::format(
          "dragonflytack: {} of {} nodes did not respond; spans may be "
          "missing\n",
          unresponsive, addresses.size());
    }
    if (spans.empty()) {
      return context->Fail(Failure{
          FailureCode::kNotFound, id,
          "no node has spans of this trace; it may not have been sampled, or "
          "be too old"});
    }
    return ExitCode::kDone;
  }
};

}  // namespace

std::unique_ptr<Verb> MakeTraceVerb() {
  return std::make_unique<TraceVerb>();
}

}  // namespace dragonflytack
