#include "cli/tool.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <optional>
#include <ostream>
#include <utility>

#include <fmt/format.h>
#include <boost/program_options.hpp>

#include "cli/sheet_option.h"
#include "cli/text_table.h"
#include "cli/tool_context.h"
#include "cli/verb.h"

namespace dragonflytack {

namespace {

namespace po = boost::program_options;

constexpr double kDefaultTimeoutSeconds = 10;
constexpr double kMaxTimeoutSeconds = 3600;
constexpr double kMillisPerSecond = 1000;
constexpr size_t kMaxAuthorBytes = 100;
// The limit of the setting security.shared_key.
constexpr size_t kMaxKeyBytes = 256;

po::options_description SharedOptions() {
  po::options_description options("Options of all verbs");
  options.add_options()("store",
                        po::value<std::string>()->value_name("IP:PORT"),
                        "the object store; default: $DRAGONFLYTACK_STORE")(
      "node", po::value<std::string>()->value_name("IP:PORT"),
      "admin port of any node; default: $DRAGONFLYTACK_NODE")(
      "key-file", po::value<std::string>()->value_name("FILE"),
      "file with the mesh's shared key")(
      "author", po::value<std::string>()->value_name("NAME"),
      "who edits, for the history; default: $USER")("json", po::bool_switch(),
                                                    "write JSON for programs")(
      "timeout",
      po::value<double>()->value_name("SECONDS")->default_value(
          kDefaultTimeoutSeconds, "10"),
      "longest time for the command")(
      "accept-copy", po::bool_switch(),
      "edit the table although the store has returned from an older copy and "
      "no node has written it back")("help", "print this text");
  return options;
}

// Returns the index of the verb, which shared options may precede, or
// arguments.size() if there is no verb.
size_t FindVerb(const std::vector<std::string>& arguments) {
  const po::options_description shared = SharedOptions();
  size_t index = 0;
  while (index < arguments.size() && arguments[index].starts_with("--")) {
    const std::string& text = arguments[index];
    const size_t equals = text.find('=');
    const po::option_description* option =
        shared.find_nothrow(text.substr(2, equals - 2), false);
    const bool takes_next = equals == std::string::npos && option != nullptr &&
                            option->semantic()->max_tokens() > 0;
    index += takes_next ? 2 : 1;
  }
  return std::min(index, arguments.size());
}

std::string StringOption(const po::variables_map& values,
                         const char* name,
                         const std::string& fallback) {
  return values.contains(name) ? values[name].as<std::string>() : fallback;
}

// Parses an optional address. Returns false if it is neither empty nor valid.
bool ParseOptionalAddress(const std::string& text,
                          std::optional<HostPort>* address) {
  *address = HostPort::Parse(text);
  return text.empty() || address->has_value();
}

bool IsValidAuthor(const std::string& author) {
  return author.size() <= kMaxAuthorBytes &&
         std::none_of(author.begin(), author.end(),
                      [](char letter) { return letter >= 0 && letter < ' '; });
}

std::optional<std::string> ReadKey(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string key;
  if (!std::getline(file, key) || key.empty() || key.size() > kMaxKeyBytes) {
    return std::nullopt;
  }
  if (key.back() == '\r') {
    key.pop_back();
  }
  return key;
}

// Reads the shared options. Returns an error message, empty if they are valid.
std::string ReadSharedOptions(const po::variables_map& values,
                              const Tool::Environment& environment,
                              ToolOptions* options) {
  if (!ParseOptionalAddress(
          StringOption(values, "store", environment("DRAGONFLYTACK_STORE")),
          &options->store)) {
    return "the store's address is not IP:port";
  }
  if (!ParseOptionalAddress(
          StringOption(values, "node", environment("DRAGONFLYTACK_NODE")),
          &options->node)) {
    return "the node's address is not IP:port";
  }
  options->author = StringOption(values, "author", environment("USER"));
  if (options->author.empty()) {
    options->author = "unknown";
  }
  if (!IsValidAuthor(options->author)) {
    return "the author is longer than 100 bytes or has control characters";
  }
  options->json = values["json"].as<bool>();
  options->accept_copy = values["accept-copy"].as<bool>();
  const double seconds = values["timeout"].as<double>();
  if (!(seconds > 0 && seconds <= kMaxTimeoutSeconds)) {
    return "the timeout is not above 0 and up to 3600 seconds";
  }
  options->timeout =
      Milliseconds(static_cast<int64_t>(std::ceil(seconds * kMillisPerSecond)));
  if (values.contains("key-file")) {
    const std::string path = values["key-file"].as<std::string>();
    const std::optional<std::string> key = ReadKey(path);
    if (!key) {
      return fmt::format("the key file {} has no key of 1 to 256 bytes", path);
    }
    options->shared_key = *key;
  }
  return {};
}

// Removes the value of an unknown option, which may be an API key, from an
// error message of the parser: "unrecognised option '--name=value'".
std::string WithoutValue(const std::string& message) {
  const size_t equals = message.find('=');
  return equals == std::string::npos ? message
                                     : message.substr(0, equals) + "'";
}

}  // namespace

Tool::Tool(EventLoop* loop,
           Environment environment,
           std::ostream* out,
           std::ostream* err)
    : loop_(loop), environment_(std::move(environment)), out_(out), err_(err) {}

void Tool::PrintHelp() const {
  TextTable table({"verb", "", ""});
  for (const VerbEntry& entry : Verbs()) {
    table.Add({std::string(entry.name), std::string(entry.arguments),
               std::string(entry.summary)});
  }
  *out_ << "usage: dragonflytack VERB [ARGUMENTS] [OPTIONS]\n\n"
        << table.ToString() << "\n"
        << SharedOptions()
        << "\nExit codes: 0 done, 1 failed, 2 usage or settings, 3 conflict, "
           "4 store unreachable,\n5 timeout while waiting.\n"
           "\"dragonflytack VERB --help\" describes a verb.\n";
}

ExitCode Tool::UsageError(const std::string& text,
                          std::string_view verb) const {
  *err_ << "dragonflytack: " << text << "\n"
        << (verb.empty()
                ? std::string("\"dragonflytack --help\" lists the verbs")
                : fmt::format("\"dragonflytack {} --help\" describes "
                              "its arguments and options",
                              verb))
        << "\n";
  return ExitCode::kUsage;
}

ExitCode Tool::Run(const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    return UsageError("the verb is missing");
  }
  if (arguments.front() == "--help") {
    PrintHelp();
    return ExitCode::kDone;
  }
  const size_t index = FindVerb(arguments);
  if (index == arguments.size()) {
    return UsageError("the verb is missing");
  }
  const auto entry = std::find_if(Verbs().begin(), Verbs().end(),
                                  [&](const VerbEntry& candidate) {
                                    return candidate.name == arguments[index];
                                  });
  if (entry == Verbs().end()) {
    return UsageError(fmt::format("there is no verb \"{}\"", arguments[index]));
  }
  std::vector<std::string> without_verb = arguments;
  without_verb.erase(without_verb.begin() + static_cast<std::ptrdiff_t>(index));
  const std::unique_ptr<Verb> verb = entry->make();
  po::options_description verb_options("Options");
  verb->AddOptions(&verb_options);
  po::options_description hidden;
  hidden.add_options()("argument", po::value<std::vector<std::string>>());
  po::options_description visible;
  if (!verb_options.options().empty()) {
    visible.add(verb_options);
  }
  visible.add(SharedOptions());
  po::options_description all;
  all.add(visible).add(hidden);
  po::positional_options_description positional;
  positional.add("argument", -1);
  po::variables_map values;
  try {
    // Abbreviated options are disabled: a new option could change the meaning
    // of an abbreviation in a script.
    po::store(po::command_line_parser(without_verb)
                  .options(all)
                  .positional(positional)
                  .style(po::command_line_style::default_style &
                         ~po::command_line_style::allow_guessing)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    return UsageError(WithoutValue(error.what()), entry->name);
  }
  const std::string usage =
      fmt::format("usage: dragonflytack {} {}", entry->name, entry->arguments);
  if (values.contains("help")) {
    *out_ << usage << "\n\n" << entry->summary << "\n\n" << visible;
    if (const std::string notes = verb->Notes(); !notes.empty()) {
      *out_ << "\n" << notes;
    }
    return ExitCode::kDone;
  }
  const Verb::Arguments verb_arguments =
      values.contains("argument")
          ? values["argument"].as<std::vector<std::string>>()
          : Verb::Arguments{};
  if (verb_arguments.size() < entry->min_arguments) {
    return UsageError(
        fmt::format("{} needs {}\n{}", entry->name, entry->arguments, usage),
        entry->name);
  }
  const std::optional<Sheet> sheet = ChosenSheet(values);
  if (!sheet) {
    return UsageError("--routes and --accounts exclude each other",
                      entry->name);
  }
  if (verb_arguments.size() > entry->max_arguments) {
    // The argument may be an API key.
    return UsageError(
        *sheet == Sheet::kAccounts
            ? fmt::format("unexpected argument {}\n{}",
                          entry->max_arguments + 1, usage)
            : fmt::format("unexpected argument \"{}\"\n{}",
                          verb_arguments[entry->max_arguments], usage),
        entry->name);
  }
  ToolOptions options;
  const std::string fault = ReadSharedOptions(values, environment_, &options);
  if (!fault.empty()) {
    return UsageError(fault, entry->name);
  }
  ToolContext context(loop_, std::move(options), out_, err_);
  return verb->Run(verb_arguments, values, &context);
}

}  // namespace dragonflytack
