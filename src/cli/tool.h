#ifndef DRAGONFLYTACK_CLI_TOOL_H_
#define DRAGONFLYTACK_CLI_TOOL_H_

#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "cli/exit_code.h"

namespace dragonflytack {

class EventLoop;

// The command-line tool, independent of the environment and the standard
// streams of the process.
class Tool final {
 public:
  // Returns the value of an environment variable, empty if it is not set.
  using Environment = std::function<std::string(const char* name)>;

  // The pointers must outlive the tool.
  Tool(EventLoop* loop,
       Environment environment,
       std::ostream* out,
       std::ostream* err);

  // Runs one command. `arguments` does not include the program name.
  ExitCode Run(const std::vector<std::string>& arguments);

 private:
  void PrintHelp() const;
  // `verb` is empty if it is missing or unknown.
  ExitCode UsageError(const std::string& text,
                      std::string_view verb = {}) const;

  EventLoop* const loop_;
  const Environment environment_;
  std::ostream* const out_;
  std::ostream* const err_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_TOOL_H_
