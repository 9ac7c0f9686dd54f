#include "cli/version_wait.h"

#include <unistd.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "cli/text_table.h"
#include "cli/tool_context.h"
#include "dragonflytack/base/event_loop.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kPollPeriod(100);
constexpr Milliseconds kNodeListPeriod(1000);
// A node that responds slowly must not delay the next poll of the other nodes.
constexpr Milliseconds kResponseTimeout(1000);

}  // namespace

WaitOutcome WaitForVersion(TableVersion version, ToolContext* context) {
  WaitOutcome outcome;
  const std::optional<HostPort> node = context->Node(&outcome.failure);
  if (!node) {
    return outcome;
  }
  const Clock& clock = context->loop()->clock();
  const TimePoint start = clock.Now();
  const TimePoint deadline = start + context->options().timeout;
  const bool show_progress =
      isatty(STDERR_FILENO) == 1 && !context->options().json;
  AdminFetcher fetcher(context->loop(), context->options().shared_key);
  std::vector<FleetNode> expected;
  std::set<std::string> reached;
  std::map<std::string, NodeVersion> versions;
  TimePoint listed_at;
  while (true) {
    const Milliseconds remaining = std::max(
        Milliseconds(1),
        std::chrono::duration_cast<Milliseconds>(deadline - clock.Now()));
    const Milliseconds response_timeout = std::min(remaining, kResponseTimeout);
    if (expected.empty() || clock.Now() - listed_at >= kNodeListPeriod) {
      Failure reason;
      auto nodes = FetchNodes(&fetcher, *node, response_timeout, &reason);
      if (nodes) {
        expected = *std::move(nodes);
        std::erase_if(expected,
                      [](const FleetNode& item) { return !item.IsExpected(); });
        listed_at = clock.Now();
      } else if (expected.empty()) {
        outcome.failure = reason;
      }
    }
    std::vector<FleetNode> polled;
    std::vector<HostPort> addresses;
    for (const FleetNode& item : expected) {
      if (!reached.contains(item.id)) {
        polled.push_back(item);
        addresses.push_back(item.admin);
      }
    }
    const std::vector<AdminReply> replies =
        fetcher.FetchAll(addresses, "/status", response_timeout);
    outcome.missing.clear();
    for (size_t i = 0; i < polled.size(); ++i) {
      const NodeVersion& found = versions[polled[i].id] =
          ParseNodeVersion(replies[i]);
      if (found.in_force && *found.in_force >= version) {
        reached.insert(polled[i].id);
      } else {
        outcome.missing.push_back(MissingNode{polled[i], found});
      }
    }
    outcome.nodes = expected.size();
    outcome.elapsed_ms =
        std::chrono::duration_cast<Milliseconds>(clock.Now() - start).count();
    if (show_progress) {
      context->err() << fmt::format(
                            "\r{} of {} nodes have version {} ({:.1f} s)",
                            expected.size() - outcome.missing.size(),
                            expected.size(), version,
                            static_cast<double>(outcome.elapsed_ms) / 1000)
                     << std::flush;
    }
    const bool done = !expected.empty() && outcome.missing.empty();
    if (done || clock.Now() + kPollPeriod >= deadline) {
      break;
    }
    context->Sleep(kPollPeriod);
  }
  if (show_progress) {
    context->err() << "\n";
  }
  if (!outcome.missing.empty()) {
    outcome.failure = Failure{
        FailureCode::kDeadlineExceeded, fmt::format("version {}", version),
        fmt::format("{} of {} nodes do not have it in force",
                    outcome.missing.size(), outcome.nodes)};
  } else if (outcome.nodes > 0) {
    outcome.failure = Failure{};
  } else {
    outcome.failure = Failure{
        FailureCode::kDeadlineExceeded, node->ToString(),
        outcome.failure.code == FailureCode::kNone
            ? "its list of nodes is empty"
            : "the nodes could not be listed: " + outcome.failure.ToString()};
  }
  return outcome;
}

void PrintMissingNodes(const WaitOutcome& outcome, ToolContext* context) {
  TextTable table({"node", "region", "data centre", "version", "reason"});
  for (const MissingNode& item : outcome.missing) {
    table.Add(
        {item.node.id, item.node.region, item.node.data_centre,
         item.version.in_force ? std::to_string(*item.version.in_force) : "-",
         item.version.reason});
  }
  context->err() << table.ToString();
}

}  // namespace dragonflytack
