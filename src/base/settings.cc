#include "dragonflytack/base/settings.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <boost/program_options/parsers.hpp>

#include "base/setting_keys.h"

namespace dragonflytack {

namespace {

namespace po = boost::program_options;

// LocateOptions() parses every prefix of the file; these limits bound its work.
constexpr size_t kMaxFileBytes = 65'536;
constexpr int kMaxLines = 500;

constexpr size_t kMaxNameLength = 63;
constexpr size_t kMinSharedKeyLength = 16;
constexpr size_t kMaxSharedKeyLength = 256;
constexpr int kMaxTimeoutMs = 60'000;
constexpr int kMaxDrainTimeoutMs = 600'000;

bool IsName(const std::string& text, std::string_view punctuation) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [punctuation](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
                  punctuation.find(c) != std::string_view::npos;
         });
}

bool IsNodeId(const std::string& text) {
  return IsName(text, "-.");
}

bool IsLabel(const std::string& text) {
  return IsName(text, "-");
}

// Wider than the names that the table's editor accepts, because the services of
// another system's table may have other names.
bool IsServiceName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::none_of(text.begin(), text.end(),
                      [](unsigned char c) { return c < ' ' || c == '\x7f'; });
}

// Rejects text with a NUL, because inet_pton() reads only the part before it.
bool IsIpAddress(const std::string& text) {
  unsigned char bytes[sizeof(in6_addr)];
  return text.find('\0') == std::string::npos &&
         (inet_pton(AF_INET, text.c_str(), bytes) == 1 ||
          inet_pton(AF_INET6, text.c_str(), bytes) == 1);
}

bool IsSharedKey(const std::string& text) {
  return text.size() >= kMinSharedKeyLength &&
         text.size() <= kMaxSharedKeyLength &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

template <typename Number>
std::optional<Number> ParseNumber(const std::string& text,
                                  Number minimum,
                                  Number maximum) {
  Number number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || parsed != end || !(number >= minimum) ||
      !(number <= maximum)) {
    return std::nullopt;
  }
  return number;
}

template <auto kMember, bool (*kIsValid)(const std::string&)>
bool ApplyText(const std::string& text, Settings* settings) {
  settings->*kMember = text;
  return kIsValid(text);
}

template <auto kMember, int kMinimum, int kMaximum>
bool ApplyInteger(const std::string& text, Settings* settings) {
  const std::optional<int> number = ParseNumber(text, kMinimum, kMaximum);
  settings->*kMember = number.value_or(0);
  return number.has_value();
}

template <auto kMember>
bool ApplyPort(const std::string& text, Settings* settings) {
  return ApplyInteger<kMember, 1, UINT16_MAX>(text, settings);
}

// Parses "1500", "1500ms" or "1.5s" into milliseconds.
std::optional<int> ParseDuration(const std::string& text,
                                 int minimum_ms,
                                 int maximum_ms) {
  constexpr double kMillisPerSecond = 1000;
  double unit_ms = 1;
  std::string number = text;
  if (number.ends_with("ms")) {
    number.resize(number.size() - 2);
  } else if (number.ends_with('s')) {
    number.resize(number.size() - 1);
    unit_ms = kMillisPerSecond;
  }
  const std::optional<double> value =
      ParseNumber(number, minimum_ms / unit_ms, maximum_ms / unit_ms);
  return value ? std::optional(static_cast<int>(*value * unit_ms))
               : std::nullopt;
}

template <auto kMember, int kMinimumMs, int kMaximumMs>
bool ApplyDuration(const std::string& text, Settings* settings) {
  const std::optional<int> value = ParseDuration(text, kMinimumMs, kMaximumMs);
  settings->*kMember = value.value_or(0);
  return value.has_value();
}

template <auto kMember>
bool ApplyFlag(const std::string& text, Settings* settings) {
  settings->*kMember = text == "true";
  return text == "true" || text == "false";
}

// Accepts "port" or, because some platforms write both, "IP:port". The IP must
// be that of node.address if that key precedes this one.
template <auto kMember>
bool ApplyListenPort(const std::string& text, Settings* settings) {
  if (const std::optional<HostPort> address = HostPort::Parse(text)) {
    settings->*kMember = address->port;
    return settings->address.empty() || address->address == settings->address;
  }
  return ApplyPort<kMember>(text, settings);
}

bool ApplyKillAfter(const std::string& text, Settings* settings) {
  // Reserves time before the process is killed, to send the last responses and
  // to announce the stop to the peers. Both take less than this.
  constexpr int kMarginMs = 1'000;
  const std::optional<int> value =
      ParseDuration(text, 2 * kMarginMs, kMaxDrainTimeoutMs);
  settings->drain_timeout_ms = value.value_or(0) - kMarginMs;
  return value.has_value();
}

bool ApplyHeartbeat(const std::string& text, Settings* settings) {
  // Tolerates two lost heartbeats and a late third one.
  constexpr int kTimeoutPeriods = 4;
  const std::optional<int> value = ParseDuration(text, 100, kMaxTimeoutMs);
  settings->target_heartbeat_timeout_ms = kTimeoutPeriods * value.value_or(0);
  return value.has_value();
}

bool ApplyTargetAddress(const std::string& text, Settings* settings) {
  settings->target_address = HostPort::Parse(text);
  return settings->target_address.has_value();
}

bool ApplyRetryRatio(const std::string& text, Settings* settings) {
  const std::optional<double> ratio = ParseNumber(text, 0.0, 1.0);
  settings->retry_ratio = ratio.value_or(0);
  return ratio.has_value();
}

bool ApplyExposure(const std::string& text, Settings* settings) {
  const std::optional<double> exposure = ParseNumber(text, 0.0, 1.0);
  settings->rollout_exposure = exposure.value_or(0);
  return exposure.has_value();
}

bool ApplyAllowanceOver(const std::string& text, Settings* settings) {
  const std::optional<double> over = ParseNumber(text, 0.0, 1.0);
  settings->allowance_over = over.value_or(0);
  return over.has_value();
}

bool ApplyStoreAddress(const std::string& text, Settings* settings) {
  if (const std::optional<HostPort> address = HostPort::Parse(text)) {
    settings->store = *address;
    return true;
  }
  settings->store.address = text;
  return IsIpAddress(text);
}

bool ApplyStorePort(const std::string& text, Settings* settings) {
  const std::optional<int> port = ParseNumber(text, 1, UINT16_MAX);
  settings->store.port = static_cast<uint16_t>(port.value_or(0));
  return port.has_value();
}

bool ApplySeeds(const std::string& text, Settings* settings) {
  std::istringstream items(text);
  for (std::string item; std::getline(items, item, ',');) {
    const size_t first = item.find_first_not_of(" \t");
    const size_t last = item.find_last_not_of(" \t");
    if (first == std::string::npos) {
      return false;
    }
    const std::optional<HostPort> seed =
        HostPort::Parse(item.substr(first, last - first + 1));
    if (!seed) {
      return false;
    }
    settings->seeds.push_back(*seed);
  }
  // std::getline() does not return the empty item after a trailing comma.
  return text.back() != ',';
}

bool ApplyTraceSample(const std::string& text, Settings* settings) {
  const std::optional<double> share = ParseNumber(text, 0.0, 1.0);
  settings->trace_sample = share.value_or(0);
  return share.has_value();
}

bool ApplyTraceCollector(const std::string& text, Settings* settings) {
  settings->trace_collector = HostPort::Parse(text);
  return settings->trace_collector.has_value();
}

bool ApplyLogLevel(const std::string& text, Settings* settings) {
  static const std::map<std::string, LogLevel> levels = {
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warning", LogLevel::kWarning},
      {"error", LogLevel::kError}};
  const auto found = levels.find(text);
  if (found == levels.end()) {
    return false;
  }
  settings->log_level = found->second;
  return true;
}

bool ApplyAddressing(const std::string& text, Settings* settings) {
  settings->routes_calls = text == "routes";
  return settings->routes_calls || text == "services";
}

constexpr std::string_view kNodeIdFormat = "1 to 63 characters of a-z 0-9 - .";
constexpr std::string_view kLabelFormat = "1 to 63 characters of a-z 0-9 -";
constexpr std::string_view kIpAddressFormat = "an IP address";
constexpr std::string_view kPortFormat = "a number from 1 to 65535";

constexpr SettingKey kKeys[] = {
    {"node.id", true, kNodeIdFormat, &ApplyText<&Settings::node_id, IsNodeId>},
    {"node.region", true, kLabelFormat, &ApplyText<&Settings::region, IsLabel>},
    {"node.data_centre", true, kLabelFormat,
     &ApplyText<&Settings::data_centre, IsLabel>},
    {"node.address", true, kIpAddressFormat,
     &ApplyText<&Settings::address, IsIpAddress>},
    {"node.service", false, "1 to 63 bytes without control characters",
     &ApplyText<&Settings::service, IsServiceName>},
    {"node.call_port", true, kPortFormat,
     &ApplyListenPort<&Settings::call_port>},
    {"node.mesh_port", true, kPortFormat,
     &ApplyListenPort<&Settings::mesh_port>},
    {"node.peer_port", true, kPortFormat,
     &ApplyListenPort<&Settings::peer_port>},
    {"node.admin_port", true, kPortFormat,
     &ApplyListenPort<&Settings::admin_port>},
    {"node.ready_port", false, kPortFormat,
     &ApplyListenPort<&Settings::ready_port>},
    {"node.target_port", false, kPortFormat,
     &ApplyListenPort<&Settings::target_port>},
    {"store.address", true, "an IP address, or IP:port", &ApplyStoreAddress},
    {"store.port", false, kPortFormat, &ApplyStorePort},
    {"store.region", true, kLabelFormat,
     &ApplyText<&Settings::store_region, IsLabel>},
    {"store.timeout_ms", false, "a number from 100 to 60000",
     &ApplyInteger<&Settings::store_timeout_ms, 100, kMaxTimeoutMs>},
    {"store.watch_on_every_node", false, "true or false",
     &ApplyFlag<&Settings::watch_on_every_node>},
    {"peers.seeds", false, "IP:port, separated by commas", &ApplySeeds},
    {"security.shared_key", false, "16 to 256 printable characters, no spaces",
     &ApplyText<&Settings::shared_key, IsSharedKey>},
    {"security.open_network", false, "true or false",
     &ApplyFlag<&Settings::open_network>},
    {"trace.sample", false, "a number from 0 to 1", &ApplyTraceSample},
    {"trace.collector", false, "IP:port", &ApplyTraceCollector},
    {"log.level", false, "debug, info, warning or error", &ApplyLogLevel},
    {"calls.drain_timeout_ms", false, "a number from 1000 to 600000",
     &ApplyInteger<&Settings::drain_timeout_ms, 1000, kMaxDrainTimeoutMs>},
    {"calls.kill_after", false, "a time from 2s to 600s", &ApplyKillAfter},
    {"calls.max_buffered_mb", false, "a number from 8 to 65536",
     &ApplyInteger<&Settings::max_buffered_mb, 8, 65'536>},
    {"calls.max_pipelined", false, "a number from 1 to 64",
     &ApplyInteger<&Settings::max_pipelined, 1, 64>},
    {"calls.addressing", false, "services or routes", &ApplyAddressing},
    {"input.head_timeout", false, "a time from 4s to 60s",
     &ApplyDuration<&Settings::head_timeout_ms, 4000, kMaxTimeoutMs>},
    {"input.body_timeout", false, "a time from 1s to 60s",
     &ApplyDuration<&Settings::body_timeout_ms, 1000, kMaxTimeoutMs>},
    {"input.max_connections", false, "a number from 16 to 1000000",
     &ApplyInteger<&Settings::max_connections, 16, 1'000'000>},
    {"input.control_max_connections", false, "a number from 4 to 1000000",
     &ApplyInteger<&Settings::control_max_connections, 4, 1'000'000>},
    {"input.control_buffered_mb", false, "a number from 1 to 65536",
     &ApplyInteger<&Settings::control_buffered_mb, 1, 65'536>},
    {"target.address", false, "IP:port", &ApplyTargetAddress},
    {"target.heartbeat", false, "a time from 100ms to 60s", &ApplyHeartbeat},
    {"target.drain", false, "a time from 500ms to 600s, or nothing",
     &ApplyDuration<&Settings::target_leaving_ms, 500, kMaxDrainTimeoutMs>,
     true},
    {"retry.ratio", false, "a number from 0 to 1", &ApplyRetryRatio},
    {"retry.window", false, "a time from 1s to 600s",
     &ApplyDuration<&Settings::retry_window_ms, 1000, kMaxDrainTimeoutMs>},
    {"retry.slack", false, "a number from 0 to 1000000",
     &ApplyInteger<&Settings::retry_slack, 0, 1'000'000>},
    {"rollout.exposure", false, "a number from 0 to 1, or nothing",
     &ApplyExposure, true},
    {"rollout.exposure_slack", false, "a number from 0 to 1000000, or nothing",
     &ApplyInteger<&Settings::rollout_exposure_slack, 0, 1'000'000>, true},
    {"rollout.rollback", false, "a time from 1s to 600s, or nothing",
     &ApplyDuration<&Settings::rollout_rollback_ms, 1000, kMaxDrainTimeoutMs>,
     true},
    {"allowance.window", false, "a time from 1s to 600s, or nothing",
     &ApplyDuration<&Settings::allowance_window_ms, 1000, kMaxDrainTimeoutMs>,
     true},
    {"allowance.over", false, "a number from 0 to 1, or nothing",
     &ApplyAllowanceOver, true},
    {"allowance.slack", false, "a number from 0 to 1000000, or nothing",
     &ApplyInteger<&Settings::allowance_slack, 0, 1'000'000>, true},
};

struct LocatedOption {
  std::string name;
  std::string value;
  int line = 0;
};

// Splits the file into options with their line numbers, which Boost's parser
// does not report. An option or error belongs to the last line of the shortest
// prefix of the file with which it appears, so every prefix is parsed.
std::optional<std::vector<LocatedOption>> LocateOptions(const std::string& path,
                                                        std::istream* input,
                                                        int* lines,
                                                        Failure* reason) {
  static const po::options_description no_options;
  std::vector<LocatedOption> located;
  std::string prefix;
  *lines = 0;
  for (std::string line; std::getline(*input, line);) {
    ++*lines;
    prefix += line;
    prefix += '\n';
    if (prefix.size() > kMaxFileBytes || *lines > kMaxLines) {
      *reason = {FailureCode::kTooLarge, fmt::format("{}:{}", path, *lines),
                 fmt::format("the settings file exceeds {} bytes or {} lines",
                             kMaxFileBytes, kMaxLines)};
      return std::nullopt;
    }
    std::istringstream text(prefix);
    try {
      const po::parsed_options parsed =
          po::parse_config_file(text, no_options, /*allow_unregistered=*/true);
      if (parsed.options.size() > located.size()) {
        const po::option& option = parsed.options.back();
        located.push_back({option.string_key,
                           option.value.empty() ? "" : option.value.front(),
                           *lines});
      }
    } catch (const po::error& error) {
      *reason = {FailureCode::kInvalidSetting,
                 fmt::format("{}:{}", path, *lines), error.what()};
      return std::nullopt;
    }
  }
  return located;
}

const SettingKey* FindKey(const std::string& name) {
  const auto* const found =
      std::find_if(std::begin(kKeys), std::end(kKeys),
                   [&name](const SettingKey& key) { return key.name == name; });
  return found == std::end(kKeys) ? nullptr : found;
}

// Applies one option. Returns a description of the problem, empty on success.
std::string ApplyOption(const LocatedOption& option,
                        std::map<std::string, int>* lines_of_keys,
                        Settings* settings) {
  const SettingKey* const key = FindKey(option.name);
  if (key == nullptr) {
    return fmt::format("unknown key {}", option.name);
  }
  const auto [earlier, is_new] =
      lines_of_keys->emplace(option.name, option.line);
  if (!is_new) {
    return fmt::format("{} is already set in line {}", option.name,
                       earlier->second);
  }
  if (option.value.empty() && key->may_be_empty) {
    return {};
  }
  if (option.value.empty()) {
    return fmt::format("{} has no value; expected {}", option.name,
                       key->expected);
  }
  if (!key->apply(option.value, settings)) {
    // Omits the value, because the shared key must not appear in logs.
    return fmt::format("{} is invalid; expected {}", option.name,
                       key->expected);
  }
  return {};
}

// Returns the first key whose port an earlier key uses too, and that earlier
// key; std::nullopt if all ports differ.
std::optional<std::pair<std::string, std::string>> FindPortConflict(
    const Settings& settings) {
  const std::pair<std::string, uint16_t> ports[] = {
      {"node.call_port", settings.call_port},
      {"node.mesh_port", settings.mesh_port},
      {"node.peer_port", settings.peer_port},
      {"node.admin_port", settings.admin_port},
      {"node.ready_port", settings.ready_port},
      {"node.target_port", settings.target_port}};
  for (const auto& [name, port] : ports) {
    for (const auto& [earlier_name, earlier_port] : ports) {
      if (earlier_name == name) {
        break;
      }
      if (earlier_port == port && port != 0) {
        return std::pair(name, earlier_name);
      }
    }
  }
  return std::nullopt;
}

}  // namespace

std::span<const SettingKey> SettingKeys() {
  return kKeys;
}

std::optional<Settings> Settings::Load(const std::string& path,
                                       Failure* reason) {
  std::ifstream file(path);
  if (!file) {
    *reason = {FailureCode::kNotFound, path,
               "the settings file cannot be read"};
    return std::nullopt;
  }
  int lines = 0;
  const std::optional<std::vector<LocatedOption>> options =
      LocateOptions(path, &file, &lines, reason);
  if (!options) {
    return std::nullopt;
  }
  const auto fail = [&](int line, std::string detail) {
    *reason = {FailureCode::kInvalidSetting, fmt::format("{}:{}", path, line),
               std::move(detail)};
    return std::nullopt;
  };
  Settings settings;
  std::map<std::string, int> lines_of_keys;
  for (const LocatedOption& option : *options) {
    std::string problem = ApplyOption(option, &lines_of_keys, &settings);
    if (!problem.empty()) {
      return fail(option.line, std::move(problem));
    }
  }
  for (const SettingKey& key : kKeys) {
    if (key.required && lines_of_keys.count(std::string(key.name)) == 0) {
      return fail(lines, fmt::format("{} is missing; expected {}", key.name,
                                     key.expected));
    }
  }
  if (settings.store.port == 0) {
    return fail(lines,
                fmt::format("store.port is missing; expected {}", kPortFormat));
  }
  if (const auto conflict = FindPortConflict(settings)) {
    return fail(lines_of_keys[conflict->first],
                fmt::format("{} is the same as {}; the ports must differ",
                            conflict->first, conflict->second));
  }
  return settings;
}

}  // namespace dragonflytack
