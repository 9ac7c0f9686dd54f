// Sends calls at a fixed rate and prints their outcomes as one JSON object.

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "support/load_generator.h"

namespace dragonflytack {

namespace {

namespace options = boost::program_options;

constexpr int kExitUsage = 2;

nlohmann::json ToJson(const LoadResult& result) {
  return {
      {"sent", result.sent},
      {"done", result.done},
      {"wrong_answer", result.wrong_response},
      {"hung", result.hung},
      {"no_answer", result.no_response},
      {"refused", result.refused},
      {"goodput_per_second", result.GoodputPerSecond()},
      {"p50_ms", result.LatencyMs(0.5)},
      {"p99_ms", result.LatencyMs(0.99)},
      {"max_ms", result.LatencyMs(1.0)},
  };
}

int Main(int argc, char** argv) {
  LoadPlan plan;
  std::vector<std::string> entries;
  std::vector<std::string> headers;
  options::options_description description("load_generator options");
  description.add_options()("help", "print this text")(
      "entry", options::value(&entries)->required(),
      "IP:PORT of a call port; may be given several times")(
      "path", options::value(&plan.path), "request path")(
      "header", options::value(&headers), "NAME=VALUE, may be repeated")(
      "rate", options::value(&plan.calls_per_second), "calls a second")(
      "seconds", options::value(&plan.seconds),
      "duration of the run in seconds")(
      "fetch-keys", options::bool_switch(&plan.fetch_one_time_keys),
      "request a one-time key from the entry node for each call")(
      "pipelined", options::value(&plan.pipelined),
      "calls on one connection at once")("run-id", options::value(&plan.run_id),
                                         "prefix of the request ids");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.count("help") > 0) {
      std::cout << description;
      return EXIT_SUCCESS;
    }
    options::notify(values);
  } catch (const options::error& error) {
    fmt::print(stderr, "load_generator: {}\n", error.what());
    return kExitUsage;
  }
  for (const std::string& text : entries) {
    const std::optional<HostPort> entry = HostPort::Parse(text);
    if (!entry) {
      fmt::print(stderr, "load_generator: not an IP:PORT: {}\n", text);
      return kExitUsage;
    }
    plan.entries.push_back(*entry);
  }
  for (const std::string& text : headers) {
    const size_t equals = text.find('=');
    plan.headers[text.substr(0, equals)] =
        equals == std::string::npos ? "" : text.substr(equals + 1);
  }
  const LoadResult result = LoadGenerator(plan).Run();
  fmt::print("{}\n", ToJson(result).dump());
  return result.hung + result.wrong_response == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

}  // namespace dragonflytack

int main(int argc, char** argv) {
  return dragonflytack::Main(argc, argv);
}
