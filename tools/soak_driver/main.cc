// Runs seeded faults against real daemons; see tools/soak --help.

#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <boost/program_options.hpp>

#include "soak_driver/failure_excerpt.h"
#include "soak_driver/soak_run.h"

namespace dragonflytack {

namespace {

namespace options = boost::program_options;

constexpr int kExitUsage = 2;
constexpr int kExitUndecided = 3;
constexpr int kMinNodes = 4;
// Below the bits of RelayFault::nodes.
constexpr int kMaxNodes = 60;
// Each run of this tool uses two networks, from this one on.
constexpr int kFirstNetwork = 200;
constexpr int kLastNetwork = 250;
constexpr uint16_t kLockPort = 6999;
constexpr size_t kPrintedFailures = 5;

struct Arguments {
  SoakOptions soak;
  int seeds = 1;
  std::string log_dir;
  std::string regression_seeds;
  bool keep_logs = false;
};

// The result of seeds, in ascending order of weight. A seed is undecided if all
// its failures are time limits that the machine may have broken.
enum class Verdict { kPassed, kUndecided, kFailed };

Verdict VerdictOn(const std::vector<SoakFailure>& failures) {
  Verdict verdict = Verdict::kPassed;
  for (const SoakFailure& failure : failures) {
    verdict =
        std::max(verdict, failure.starvation.empty() ? Verdict::kFailed
                                                     : Verdict::kUndecided);
  }
  return verdict;
}

const char* NameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kPassed:
      return "ok";
    case Verdict::kUndecided:
      return "UNDECIDED";
    case Verdict::kFailed:
      return "FAILED";
  }
  return "";
}

// Returns a network that no other run on this machine uses, or 0. A socket that
// stays open for the life of this process reserves it.
int ReserveNetwork() {
  for (int network = kFirstNetwork; network <= kLastNetwork; network += 2) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kLockPort);
    address.sin_addr.s_addr =
        inet_addr(fmt::format("127.{}.0.2", network).c_str());
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) ==
            0 &&
        listen(fd, 1) == 0) {
      return network;
    }
    close(fd);
  }
  return 0;
}

Verdict RunSeed(const Arguments& arguments, SoakOptions soak) {
  soak.work_dir = fmt::format("{}/seed-{}", arguments.log_dir, soak.seed);
  std::filesystem::remove_all(soak.work_dir);
  std::filesystem::create_directories(soak.work_dir);
  std::vector<SoakFailure> failures;
  std::string summary;
  {
    SoakRun run(soak);
    run.Run();
    failures = run.failures();
    summary = run.Summary();
  }
  const Verdict verdict = VerdictOn(failures);
  fmt::print("seed {} {}: {}\n", soak.seed, NameOf(verdict), summary);
  for (size_t i = 0; i < failures.size() && i < kPrintedFailures; ++i) {
    const std::string& starvation = failures[i].starvation;
    fmt::print("  {}{}\n", failures[i].text,
               starvation.empty() ? "" : " (undecided: " + starvation + ")");
  }
  if (!failures.empty()) {
    for (const std::string& line :
         ReadDaemonLines(failures.front(), soak.work_dir)) {
      fmt::print("  log {}\n", line);
    }
  }
  if (failures.empty()) {
    if (!arguments.keep_logs) {
      std::filesystem::remove_all(soak.work_dir);
    }
  } else {
    fmt::print("  {} broken promises, logs in {}\n", failures.size(),
               soak.work_dir);
  }
  std::fflush(stdout);
  return verdict;
}

// Runs the seeds of a file with lines "SEED NODES SECONDS CAUSE"; # begins a
// comment line.
Verdict RunRegressionSeeds(const Arguments& arguments) {
  std::ifstream file(arguments.regression_seeds);
  Verdict verdict = file.is_open() ? Verdict::kPassed : Verdict::kFailed;
  std::string line;
  while (std::getline(file, line)) {
    SoakOptions soak = arguments.soak;
    if (!line.empty() && line[0] != '#' &&
        std::istringstream(line) >> soak.seed >> soak.nodes >> soak.seconds) {
      verdict = std::max(verdict, RunSeed(arguments, soak));
    }
  }
  return verdict;
}

int Main(int argc, char** argv) {
  // The callers write to connections that daemons have closed.
  std::signal(SIGPIPE, SIG_IGN);
  Arguments arguments;
  SoakOptions& soak = arguments.soak;
  options::options_description description("tools/soak options");
  description.add_options()("help", "print this text")(
      "seeds", options::value(&arguments.seeds)->default_value(1),
      "number of seeds to run")(
      "first-seed", options::value(&soak.seed)->default_value(soak.seed),
      "first seed; the others follow it")(
      "seconds", options::value(&soak.seconds)->default_value(soak.seconds),
      "time in which faults begin, for each seed")(
      "nodes", options::value(&soak.nodes)->default_value(soak.nodes),
      "number of daemons, 4 to 60")("callers",
                                    options::value(&soak.callers_per_node)
                                        ->default_value(soak.callers_per_node),
                                    "connections of callers to each daemon")(
      "regression-seeds", options::value(&arguments.regression_seeds),
      "file with seeds to run first")(
      "build-dir", options::value(&soak.build_dir)->default_value("build"),
      "folder with the programs")(
      "log-dir",
      options::value(&arguments.log_dir)->default_value("build/soak-logs"),
      "folder for the logs; those of failing seeds are kept")(
      "connection-faults", options::bool_switch(&soak.connection_faults),
      "add faults of connections to the store and to targets")(
      "stale-peers", options::bool_switch(&soak.stale_peers),
      "add a restart at which all peers have an older table")(
      "store-returns", options::bool_switch(&soak.store_returns),
      "add returns of the store from copies some seconds old")(
      "issued-keys-only", options::bool_switch(&soak.issued_keys_only),
      "callers choose no keys of their own")(
      "accounts", options::bool_switch(&soak.accounts),
      "callers present API keys, one of which is revoked")(
      "rollouts", options::bool_switch(&soak.rollouts),
      "add a roll-out of a service to a release that is good or bad")(
      "keep-logs", options::bool_switch(&arguments.keep_logs),
      "keep the logs of seeds that pass as well");
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
    fmt::print(stderr, "soak: {}\n", error.what());
    return kExitUsage;
  }
  if (soak.nodes < kMinNodes || soak.nodes > kMaxNodes) {
    fmt::print(stderr, "soak: --nodes takes {} to {}\n", kMinNodes, kMaxNodes);
    return kExitUsage;
  }
  soak.network = ReserveNetwork();
  if (soak.network == 0) {
    fmt::print(stderr, "soak: no loopback network is free\n");
    return EXIT_FAILURE;
  }
  Verdict verdict = arguments.regression_seeds.empty()
                        ? Verdict::kPassed
                        : RunRegressionSeeds(arguments);
  for (int i = 0; i < arguments.seeds; ++i) {
    SoakOptions next = soak;
    next.seed += i;
    verdict = std::max(verdict, RunSeed(arguments, next));
  }
  return verdict == Verdict::kPassed      ? EXIT_SUCCESS
         : verdict == Verdict::kUndecided ? kExitUndecided
                                          : EXIT_FAILURE;
}

}  // namespace

}  // namespace dragonflytack

int main(int argc, char** argv) {
  return dragonflytack::Main(argc, argv);
}
