// Measures fleets of real daemons on this machine; see tools/measure --help.

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <boost/program_options.hpp>

#include "measure_driver/calls_measure.h"
#include "measure_driver/distribution_measure.h"
#include "measure_driver/linear_fit.h"
#include "measure_driver/scale_measure.h"

namespace dragonflytack {

namespace {

namespace options = boost::program_options;

constexpr int kExitUsage = 2;
// Fleet size expected in two years.
constexpr int kPlannedNodes = 5300;
constexpr int kMaxNodes = 240;
constexpr int kMaxRecords = 10'600;
// Minimum number of records beyond those of the real daemons, including the two
// of the emulator's gateways.
constexpr int kMinEmulatedRecords = 26;

struct Arguments {
  std::string measure;
  std::string build_dir;
  std::string log_dir;
  std::vector<int> sizes;
  std::vector<int> records;
  std::vector<std::string> phases;
  std::string mode;
  int network = 0;
};

FleetOptions MakeOptions(const Arguments& arguments,
                         int nodes,
                         const std::string& mode,
                         int network) {
  FleetOptions fleet;
  fleet.build_dir = arguments.build_dir;
  fleet.nodes = nodes;
  fleet.network = network;
  fleet.work_dir = fmt::format("{}/{}-{}", arguments.log_dir, mode, nodes);
  std::filesystem::create_directories(fleet.work_dir);
  return fleet;
}

bool MeasureDistribution(const Arguments& arguments) {
  bool met = true;
  // Each run uses a separate network, so that late connections of an earlier
  // fleet cannot reach it.
  int network = arguments.network;
  for (const int nodes : arguments.sizes) {
    if (arguments.mode != "baseline") {
      const FleetOptions push =
          MakeOptions(arguments, nodes, "push", network++);
      met = DistributionMeasure(push, "push").Run() && met;
    }
    if (arguments.mode != "push") {
      FleetOptions baseline =
          MakeOptions(arguments, nodes, "baseline", network++);
      baseline.watch_on_every_node = true;
      // The baseline is only a comparison; its figures do not affect the
      // result.
      DistributionMeasure(baseline, "baseline").Run();
    }
  }
  return met;
}

bool MeasureCalls(const Arguments& arguments) {
  bool met = true;
  int network = 60;
  for (const int nodes : arguments.sizes) {
    // Targets without service time, for the latency and cost of the mesh
    // itself.
    FleetOptions fast = MakeOptions(arguments, nodes, "calls", network++);
    fast.targets = true;
    fast.services = 2;
    // The timers of the stand-in have a resolution of 4 ms, so the latency of
    // the mesh is measured with targets that respond immediately. Chains call
    // different services, up to 9 if there are enough nodes.
    fast.service_ms = 0;
    fast.services = std::clamp(nodes / Fleet::kDataCentres, 2, 9);
    FleetOptions ordinary = fast;
    ordinary.service_ms = 5;
    ordinary.services = 2;
    // Slow targets, so that the load generator can offer several times their
    // capacity on one machine.
    FleetOptions slow = MakeOptions(arguments, nodes, "overload", network++);
    slow.targets = true;
    slow.services = 2;
    slow.service_ms = 40;
    slow.slots = 4;
    for (const std::string& phase : arguments.phases) {
      const bool timed = phase == "latency" || phase == "saturation";
      const FleetOptions& fleet =
          phase == "overload" ? slow : (timed ? fast : ordinary);
      met = CallsMeasure(fleet, phase).Run() && met;
    }
  }
  return met;
}

bool MeasureScale(const Arguments& arguments) {
  bool met = true;
  int network = 100;
  for (const int nodes : arguments.sizes) {
    for (const int records : arguments.records) {
      met =
          ScaleMeasure(MakeOptions(arguments, nodes,
                                   fmt::format("scale-{}", records), network++),
                       records)
              .Run() &&
          met;
    }
  }
  return met;
}

int Main(int argc, char** argv) {
  Arguments arguments;
  options::options_description description("tools/measure options");
  description.add_options()("help", "print this text")(
      "measure", options::value(&arguments.measure)->required(),
      "distribution: convergence, control bytes, memory, processor time and "
      "store calls; calls: latency, overload, faults, drain and rolling "
      "restart; scale: resource usage of a daemon with many records of "
      "emulated nodes; fit: reads JSON lines and prints the fit at 5,300 "
      "nodes")("build-dir",
               options::value(&arguments.build_dir)->default_value("build"),
               "folder with the programs")(
      "log-dir",
      options::value(&arguments.log_dir)->default_value("build/measure-logs"),
      "folder for settings and logs of the fleets")(
      "nodes", options::value(&arguments.sizes)->multitoken(),
      "sizes of the fleets; default 24")(
      "records", options::value(&arguments.records)->multitoken(),
      "numbers of records of the scale measurement; default 500 1000 2000 "
      "5300")(
      "phase", options::value(&arguments.phases)->multitoken(),
      "parts of the calls measurement: latency, saturation, overload, faults, "
      "drain, rolling; default all")(
      "network", options::value(&arguments.network)->default_value(20),
      "distribution: second byte of the addresses of the first fleet, so that "
      "two measurements can run side by side")(
      "mode", options::value(&arguments.mode)->default_value("both"),
      "distribution: push, baseline (every node watches the store) or both");
  options::positional_options_description positional;
  positional.add("measure", 1);
  try {
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv)
                       .options(description)
                       .positional(positional)
                       .run(),
                   values);
    if (values.count("help") > 0) {
      std::cout << description;
      return EXIT_SUCCESS;
    }
    options::notify(values);
  } catch (const options::error& error) {
    fmt::print(stderr, "measure: {}\n", error.what());
    return kExitUsage;
  }
  if (arguments.sizes.empty()) {
    arguments.sizes = {arguments.measure == "calls" ? 12 : 24};
  }
  if (arguments.records.empty()) {
    arguments.records = {500, 1000, 2000, kPlannedNodes};
  }
  if (arguments.phases.empty()) {
    arguments.phases = {"latency", "saturation", "overload",
                        "faults",  "drain",      "rolling"};
  }
  for (const int nodes : arguments.sizes) {
    if (nodes < 1 || nodes > kMaxNodes) {
      fmt::print(stderr, "measure: --nodes takes 1 to {}\n", kMaxNodes);
      return kExitUsage;
    }
  }
  const auto [fewest, most] =
      std::minmax_element(arguments.records.begin(), arguments.records.end());
  const int min_records = arguments.sizes.front() + kMinEmulatedRecords;
  if (arguments.measure == "scale" &&
      (*fewest < min_records || *most > kMaxRecords)) {
    fmt::print(stderr, "measure: --records takes {} to {}\n", min_records,
               kMaxRecords);
    return kExitUsage;
  }
  if (arguments.measure == "fit") {
    PrintFits(std::cin, kPlannedNodes);
    return EXIT_SUCCESS;
  }
  if (arguments.measure == "distribution") {
    return MeasureDistribution(arguments) ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  if (arguments.measure == "scale") {
    return MeasureScale(arguments) ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  if (arguments.measure == "calls") {
    return MeasureCalls(arguments) ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  fmt::print(stderr, "measure: unknown measurement \"{}\"\n",
             arguments.measure);
  return kExitUsage;
}

}  // namespace

}  // namespace dragonflytack

int main(int argc, char** argv) {
  return dragonflytack::Main(argc, argv);
}
