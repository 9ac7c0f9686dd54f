// The command-line tool for operators; see docs/interfaces.md.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include "cli/tool.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/system_clock.h"

int main(int argc, char** argv) {
  // A write to a connection that the peer closed raises SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  const dragonflytack::SystemClock clock;
  const std::unique_ptr<dragonflytack::EventLoop> loop =
      dragonflytack::EventLoop::Make(&clock);
  if (loop == nullptr) {
    std::cerr << "dragonflytack: the event loop cannot be created\n";
    return static_cast<int>(dragonflytack::ExitCode::kFailed);
  }
  dragonflytack::Tool tool(
      loop.get(),
      [](const char* name) {
        const char* value = std::getenv(name);
        return std::string(value == nullptr ? "" : value);
      },
      &std::cout, &std::cerr);
  return static_cast<int>(tool.Run({argv + 1, argv + argc}));
}
