#include <algorithm>
#include <fstream>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/tool_context.h"
#include "cli/verb.h"

namespace dragonflytack {

namespace {

using LogLine = nlohmann::ordered_json;

// Parses a line of a log. Returns std::nullopt unless it belongs to the request
// `id`. A log collector may have added a prefix before the JSON object.
std::optional<LogLine> ParseLine(const std::string& text,
                                 const std::string& id) {
  const size_t begin = text.find('{');
  // Parsing is expensive and most lines belong to other requests, so lines
  // without the id are skipped first.
  if (begin == std::string::npos || text.find(id, begin) == std::string::npos) {
    return std::nullopt;
  }
  LogLine line =
      LogLine::parse(text.begin() + static_cast<std::ptrdiff_t>(begin),
                     text.end(), nullptr, /*allow_exceptions=*/false);
  if (!line.is_object() || !line.contains("call") || line["call"] != id ||
      !line.contains("time") || !line["time"].is_string()) {
    return std::nullopt;
  }
  return line;
}

std::string ToText(const LogLine& line) {
  std::string text = line["time"].get<std::string>();
  for (const auto& [name, value] : line.items()) {
    if (name == "node" || name == "event") {
      text += " " + (value.is_string() ? value.get<std::string>() : "");
    } else if (name != "time" && name != "level" && name != "call") {
      text += fmt::format(
          " {}={}", name,
          value.dump(-1, ' ', false, LogLine::error_handler_t::replace));
    }
  }
  return text;
}

class RequestVerb final : public Verb {
 public:
  std::string Notes() const override {
    return "The files are logs of nodes; the lines are sorted by the nodes' "
           "own clocks.\ndocs/OPERATIONS.md explains how to read them.\n";
  }

  ExitCode Run(const Arguments& arguments,
               const boost::program_options::variables_map&,
               ToolContext* context) const override {
    const std::string& id = arguments[0];
    std::vector<LogLine> lines;
    for (auto path = arguments.begin() + 1; path != arguments.end(); ++path) {
      std::ifstream file(*path);
      if (!file) {
        return context->Fail(
            Failure{FailureCode::kNotFound, *path, "the log cannot be read"});
      }
      for (std::string text; std::getline(file, text);) {
        if (std::optional<LogLine> line = ParseLine(text, id)) {
          lines.push_back(*std::move(line));
        }
      }
    }
    if (lines.empty()) {
      return context->Fail(Failure{FailureCode::kNotFound, id,
                                   "no line of these logs is of the request"});
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const LogLine& a, const LogLine& b) {
                       return a["time"].get_ref<const std::string&>() <
                              b["time"].get_ref<const std::string&>();
                     });
    for (const LogLine& line : lines) {
      context->out() << (context->options().json
                             ? line.dump(-1, ' ', false,
                                         LogLine::error_handler_t::replace)
                             : ToText(line))
                     << "\n";
    }
    return ExitCode::kDone;
  }
};

}  // namespace

std::unique_ptr<Verb> MakeRequestVerb() {
  return std::make_unique<RequestVerb>();
}

}  // namespace dragonflytack
