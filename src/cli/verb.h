#ifndef DRAGONFLYTACK_CLI_VERB_H_
#define DRAGONFLYTACK_CLI_VERB_H_

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include "cli/exit_code.h"

namespace dragonflytack {

class ToolContext;

// A verb of the tool, such as "set".
class Verb {
 public:
  using Arguments = std::vector<std::string>;

  virtual ~Verb() = default;

  // Adds the options that only this verb has.
  virtual void AddOptions(
      boost::program_options::options_description* /*options*/) const {}

  // Returns the text below the options of --help.
  virtual std::string Notes() const { return {}; }

  // Runs the verb. The number of arguments is within the limits of its
  // VerbEntry.
  virtual ExitCode Run(const Arguments& arguments,
                       const boost::program_options::variables_map& options,
                       ToolContext* context) const = 0;
};

// Describes a verb for the help text and the command line.
struct VerbEntry final {
  std::string_view name;
  std::string_view arguments;
  std::string_view summary;
  size_t min_arguments = 0;
  size_t max_arguments = 0;
  std::unique_ptr<Verb> (*make)();
};

// Returns all verbs, in the order of the help text.
std::span<const VerbEntry> Verbs();

// Each verb is implemented in its own file.
std::unique_ptr<Verb> MakeImportVerb();
std::unique_ptr<Verb> MakeExportVerb();
std::unique_ptr<Verb> MakeShowVerb();
std::unique_ptr<Verb> MakeSetVerb();
std::unique_ptr<Verb> MakeAddVerb();
std::unique_ptr<Verb> MakeRemoveVerb();
std::unique_ptr<Verb> MakeHistoryVerb();
std::unique_ptr<Verb> MakeDiffVerb();
std::unique_ptr<Verb> MakeStatusVerb();
std::unique_ptr<Verb> MakeRolloutVerb();
std::unique_ptr<Verb> MakeExplainVerb();
std::unique_ptr<Verb> MakeTraceVerb();
std::unique_ptr<Verb> MakeRequestVerb();

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_VERB_H_
