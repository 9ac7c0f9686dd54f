#include "daemon/daemon_main.h"

#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include <fmt/format.h>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/variables_map.hpp>

#include "daemon/control_task.h"
#include "daemon/loop_signals.h"
#include "dragonflytack/base/crash_handler.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/base/signal_stack.h"
#include "dragonflytack/base/system_clock.h"

namespace dragonflytack {

namespace {

namespace po = boost::program_options;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr char kVersion[] = "0.1.0";

// Returns the parsed arguments. Prints an error message and returns
// std::nullopt if they are invalid.
std::optional<po::variables_map>
ParseArguments(int argc, char** argv, const po::options_description& options) {
  try {
    po::variables_map arguments;
    // The meaning of an abbreviated option could change when options are added.
    const int style = po::command_line_style::unix_style &
                      ~po::command_line_style::allow_guessing;
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .style(style)
                  .positional({})
                  .run(),
              arguments);
    return arguments;
  } catch (const po::error& error) {
    fmt::print(stderr, "dragonflytackd: {}\n", error.what());
    return std::nullopt;
  }
}

}  // namespace

int RunDaemon(int argc,
              char** argv,
              const std::string& default_config,
              Environment environment) {
  // A stop may be requested before the control task can handle it.
  BlockLoopSignals();
  po::options_description options("Usage: dragonflytackd --config FILE");
  options.add_options()("config", po::value<std::string>(),
                        "settings file (INI)")("version", "print the version")(
      "help", "print this text");
  const std::optional<po::variables_map> arguments =
      ParseArguments(argc, argv, options);
  if (!arguments) {
    return kExitUsage;
  }
  if (arguments->count("help") > 0) {
    std::cout << options;
    return 0;
  }
  if (arguments->count("version") > 0) {
    fmt::print("dragonflytackd {}\n", kVersion);
    return 0;
  }
  if (arguments->count("config") == 0 && default_config.empty()) {
    fmt::print(stderr, "dragonflytackd: --config is required\n");
    return kExitUsage;
  }
  const std::string config = arguments->count("config") == 0
                                 ? default_config
                                 : (*arguments)["config"].as<std::string>();
  Failure reason;
  const std::optional<Settings> settings = Settings::Load(config, &reason);
  if (!settings) {
    fmt::print(stderr, "dragonflytackd: {}\n", reason.ToString());
    return kExitUsage;
  }
  environment.reload = [config](Failure* failure) {
    return Settings::Load(config, failure);
  };
  const SignalStack signal_stack;
  CrashHandler::Install(settings->node_id);
  const SystemClock clock;
  Logger logger(&clock, settings->log_level, settings->node_id);
  const std::unique_ptr<ControlTask> task =
      ControlTask::Make(*settings, environment, &clock, &logger, &reason);
  if (task == nullptr) {
    logger.Error("start_failed", {{"reason", reason.ToString()}});
    return kExitFailed;
  }
  return task->Run();
}

}  // namespace dragonflytack
