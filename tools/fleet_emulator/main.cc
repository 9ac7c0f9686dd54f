// Emulates many nodes for the registries of real daemons; see docs/scale.md.
// SIGUSR1 starts churn, SIGUSR2 stops it.

#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <event2/event.h>
#include <fmt/format.h>
#include <boost/program_options.hpp>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/hash.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/base/system_clock.h"
#include "fleet_emulator/emulated_gateway.h"
#include "fleet_emulator/synthetic_fleet.h"

namespace dragonflytack {

namespace {

namespace options = boost::program_options;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kMaxNodes = 10'600;
// Number of candidate names for the gateways. With this many, the best two rank
// above almost all of 5,300 other nodes.
constexpr int kCandidateNames = 20'000;
constexpr size_t kGateways = 2;
constexpr Milliseconds kJoinPoll{50};

struct Arguments {
  std::string config;
  std::string network;
  int nodes = 0;
  int services = 0;
  double churn = 0;
};

// The gateways of the real daemons link to the nodes of rank 0 and 1 in a
// region, so these must be the emulator's gateways. Returns the candidate names
// with the highest ranks.
std::vector<NodeId> ChooseGatewayNames() {
  const uint64_t seed = Hash64(SyntheticFleet::kRegion);
  std::vector<std::pair<uint64_t, NodeId>> names;
  for (int i = 0; i < kCandidateNames; ++i) {
    // Greater than the names of all synthetic nodes; see OpenInjectionLink().
    NodeId name = fmt::format("gateway-{:05}", i);
    const uint64_t hash = Hash64(name, seed);
    names.emplace_back(hash, std::move(name));
  }
  std::sort(names.rbegin(), names.rend());
  return {names[0].second, names[1].second};
}

class Emulator final {
 public:
  Emulator(Arguments arguments, EventLoop* loop, Logger* logger)
      : arguments_(std::move(arguments)), loop_(loop), logger_(logger) {}

  bool Start(Settings settings) {
    const std::vector<NodeId> names = ChooseGatewayNames();
    settings.region = SyntheticFleet::kRegion;
    // A data centre without synthetic nodes: nodes that do not respond would be
    // suspected by their ring neighbours.
    settings.data_centre = fmt::format("{}-gateways", SyntheticFleet::kRegion);
    for (size_t i = 0; i < kGateways; ++i) {
      settings.node_id = names[i];
      settings.address = fmt::format("{}.200.{}", arguments_.network, i + 1);
      Failure reason;
      gateways_.push_back(
          EmulatedGateway::Make(settings, loop_, logger_, &reason));
      if (gateways_.back() == nullptr) {
        logger_->Error("start_failed", {{"reason", reason.ToString()}});
        return false;
      }
    }
    fleet_ = std::make_unique<SyntheticFleet>(
        SyntheticFleet::Options{arguments_.nodes, arguments_.services,
                                arguments_.network, settings.peer_port,
                                names[1]},
        &loop_->timers(),
        [this](const Message& message) { gateways_.front()->Inject(message); });
    SendWhenJoined();
    return true;
  }

  void StartChurn() {
    if (!fleet_->churning()) {
      fleet_->StartChurn(arguments_.churn);
      LogChurn("churn_started");
    }
  }

  void StopChurn() {
    if (fleet_->churning()) {
      fleet_->StopChurn();
      LogChurn("churn_stopped");
    }
  }

  void Stop() { loop_->Stop(); }

 private:
  void SendWhenJoined() {
    if (!gateways_.front()->joined()) {
      loop_->timers().SubscribeOnce(kJoinPoll, [this] { SendWhenJoined(); });
      return;
    }
    gateways_.front()->OpenInjectionLink(fleet_->records().front());
    fleet_->SendAll();
    logger_->Info("injected", {{"nodes", int64_t{arguments_.nodes}}});
  }

  void LogChurn(std::string_view event) {
    logger_->Info(event, {{"updates", fleet_->updates()}});
  }

  const Arguments arguments_;
  EventLoop* const loop_;
  Logger* const logger_;
  std::vector<std::unique_ptr<EmulatedGateway>> gateways_;
  std::unique_ptr<SyntheticFleet> fleet_;
};

void OnSignal(evutil_socket_t signal, short, void* emulator) {
  auto* const self = static_cast<Emulator*>(emulator);
  if (signal == SIGUSR1) {
    self->StartChurn();
  } else if (signal == SIGUSR2) {
    self->StopChurn();
  } else {
    self->Stop();
  }
}

int Run(const Arguments& arguments, const Settings& settings) {
  // Writing to a connection that the peer has closed raises SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  const SystemClock clock;
  Logger logger(&clock, LogLevel::kInfo, "emulator");
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  Emulator emulator(arguments, loop.get(), &logger);
  if (!emulator.Start(settings)) {
    return kExitFailed;
  }
  std::vector<event*> signals;
  for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGUSR2}) {
    signals.push_back(evsignal_new(loop->base(), signal, &OnSignal, &emulator));
    evsignal_add(signals.back(), nullptr);
  }
  loop->Run();
  for (event* const signal_event : signals) {
    event_free(signal_event);
  }
  return 0;
}

int Main(int argc, char** argv) {
  Arguments arguments;
  options::options_description description(
      "fleet_emulator: synthetic nodes for real daemons, for measurements\n\n"
      "Options");
  description.add_options()("help", "print this text")(
      "config", options::value(&arguments.config)->required(),
      "settings of one of the daemons; store, shared key and peer port are "
      "taken from it")("network",
                       options::value(&arguments.network)->required(),
                       "first two bytes of the addresses, 127.N")(
      "nodes", options::value(&arguments.nodes)->required(),
      "number of synthetic nodes")(
      "services", options::value(&arguments.services)->default_value(180),
      "services, named service-000 and up")(
      "churn", options::value(&arguments.churn)->default_value(100),
      "churn as a multiple of the expected daily rate");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
    options::notify(values);
  } catch (const options::error& error) {
    fmt::print(stderr, "fleet_emulator: {}\n", error.what());
    return kExitUsage;
  }
  Failure reason;
  const std::optional<Settings> settings =
      Settings::Load(arguments.config, &reason);
  if (!settings) {
    fmt::print(stderr, "fleet_emulator: {}\n", reason.ToString());
    return kExitUsage;
  }
  if (!arguments.network.starts_with("127.") || arguments.nodes < 1 ||
      arguments.nodes > kMaxNodes || arguments.services < 1 ||
      arguments.churn <= 0) {
    fmt::print(stderr,
               "fleet_emulator: --network must be 127.N, --nodes 1 to {}, "
               "--services and --churn positive\n",
               kMaxNodes);
    return kExitUsage;
  }
  return Run(arguments, *settings);
}

}  // namespace

}  // namespace dragonflytack

int main(int argc, char** argv) {
  return dragonflytack::Main(argc, argv);
}
