#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include <event2/event.h>
#include <boost/program_options.hpp>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/system_clock.h"
#include "target_standin/standin_options.h"
#include "target_standin/target_standin.h"

namespace dragonflytack {

namespace {

namespace options = boost::program_options;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

struct Arguments {
  std::string listen;
  std::string admin;
  std::string call;
  std::string announced;
  StandinOptions standin;
};

options::options_description Describe(Arguments* arguments) {
  options::options_description description(
      "target_standin: a target for tests and measurements");
  StandinOptions* standin = &arguments->standin;
  description.add_options()("help", "print this text")(
      "service", options::value(&standin->service)->required(),
      "service that the target offers")(
      "listen", options::value(&arguments->listen)->required(),
      "IP:port on which the target serves calls")(
      "admin", options::value(&arguments->admin),
      "IP:port of the admin port of its node, for announcements")(
      "announced", options::value(&arguments->announced),
      "IP:port to announce instead of the one of --listen, for a relay")(
      "call", options::value(&arguments->call),
      "IP:port of the call port of its node, for chains")(
      "release", options::value(&standin->release),
      "release that the target announces")(
      "slots", options::value(&standin->slots)->default_value(standin->slots),
      "number of calls it can run at a time")(
      "service-ms",
      options::value(&standin->service_ms)->default_value(standin->service_ms),
      "service time in milliseconds")(
      "warm-up-ms",
      options::value(&standin->warm_up_ms)->default_value(standin->warm_up_ms),
      "milliseconds during which the target is announced as warming");
  return description;
}

// Parses an IP address with a port into `address`. Returns false if `text` is
// neither empty nor such an address.
bool ReadAddress(const std::string& text, std::optional<HostPort>* address) {
  if (!text.empty()) {
    *address = HostPort::Parse(text);
  }
  return text.empty() || address->has_value();
}

struct Process {
  EventLoop* loop;
  TargetStandin* standin;
};

void OnSignal(int /*signal*/, short /*what*/, void* argument) {
  auto* process = static_cast<Process*>(argument);
  process->standin->Leave([loop = process->loop] { loop->Stop(); });
}

int Run(const StandinOptions& standin_options) {
  std::signal(SIGPIPE, SIG_IGN);
  const SystemClock clock;
  Logger logger(&clock, LogLevel::kInfo, "");
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  Failure reason;
  const std::unique_ptr<TargetStandin> standin =
      TargetStandin::Make(loop.get(), standin_options, &reason);
  if (standin == nullptr) {
    logger.Error("start_failed", {{"reason", reason.ToString()}});
    return kExitFailed;
  }
  Process process{loop.get(), standin.get()};
  event* terminate = evsignal_new(loop->base(), SIGTERM, &OnSignal, &process);
  event* interrupt = evsignal_new(loop->base(), SIGINT, &OnSignal, &process);
  evsignal_add(terminate, nullptr);
  evsignal_add(interrupt, nullptr);
  logger.Info("target_ready", {{"service", standin_options.service},
                               {"listen", standin_options.listen.ToString()}});
  loop->Run();
  event_free(terminate);
  event_free(interrupt);
  return EXIT_SUCCESS;
}

int Main(int argc, char** argv) {
  Arguments arguments;
  const options::options_description description = Describe(&arguments);
  std::optional<HostPort> listen;
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
    std::cerr << error.what() << '\n' << description;
    return kExitUsage;
  }
  StandinOptions& standin = arguments.standin;
  if (!ReadAddress(arguments.listen, &listen) || !listen ||
      !ReadAddress(arguments.admin, &standin.admin) ||
      !ReadAddress(arguments.call, &standin.call) ||
      !ReadAddress(arguments.announced, &standin.announced)) {
    std::cerr << "an address is not an IP:port\n" << description;
    return kExitUsage;
  }
  standin.listen = *listen;
  return Run(standin);
}

}  // namespace

}  // namespace dragonflytack

int main(int argc, char** argv) {
  return dragonflytack::Main(argc, argv);
}
