#include "daemon/announcement.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflytack/registry/node_record.h"
#include "net/loopback.h"
#include "net/record_json.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

constexpr size_t kMaxServiceLength = 63;
constexpr int64_t kMaxSlots = 100'000;
// The object is flat. The parser callback detects deeper input, so that no
// recursion is needed to refuse it.
constexpr int kMaxDepth = 1;

bool IsServiceName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxServiceLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
         });
}

std::optional<int64_t> IntegerIn(const json& value, int64_t low, int64_t high) {
  if (!value.is_number_integer()) {
    return std::nullopt;
  }
  // Compared as unsigned first, because get<int64_t>() would wrap values above
  // INT64_MAX.
  if (value.is_number_unsigned() &&
      value.get<uint64_t>() > static_cast<uint64_t>(high)) {
    return std::nullopt;
  }
  const auto number = value.get<int64_t>();
  return number >= low && number <= high ? std::optional(number) : std::nullopt;
}

// Sets a field of the target. Returns the error in the value, or an empty
// string if the value is valid.
std::string_view ApplyField(const std::string& name,
                            const json& value,
                            const std::string& own_address,
                            LocalTarget* target) {
  if (name == "port" || name == "slots") {
    const bool is_port = name == "port";
    const std::optional<int64_t> number = is_port
                                              ? IntegerIn(value, 1, UINT16_MAX)
                                              : IntegerIn(value, 0, kMaxSlots);
    if (!number) {
      return is_port ? "must be a number from 1 to 65535"
                     : "must be a number from 0 to 100000";
    }
    if (is_port) {
      target->port = static_cast<uint16_t>(*number);
    } else {
      target->slots = static_cast<int>(*number);
    }
    return {};
  }
  const std::string text = value.is_string() ? value.get<std::string>() : "";
  if (name == "service") {
    target->service = text;
    return IsServiceName(text) ? "" : "must be 1 to 63 characters of a-z 0-9 -";
  }
  if (name == "address") {
    target->address = text;
    return IsLoopback(text) || text == own_address
               ? ""
               : "must be a loopback address or the node's own address";
  }
  if (name == "state") {
    const std::optional<TargetState> state = ParseTargetState(text);
    target->state = state.value_or(TargetState::kStarting);
    return state ? "" : "must be starting, warming, ready, draining or left";
  }
  if (name == "release") {
    target->release = text;
    return value.is_string() && text.size() <= NodeRecord::kMaxTextBytes
               ? ""
               : "must be a text of at most 63 bytes";
  }
  return "is unknown";
}

}  // namespace

std::optional<LocalTarget> ParseAnnouncement(const std::string& body,
                                             const std::string& remote_address,
                                             const std::string& own_address,
                                             Failure* reason) {
  *reason = {FailureCode::kInvalidArgument, "body", "must be a JSON object"};
  bool too_deep = false;
  const json object = json::parse(
      body,
      [&too_deep](int depth, json::parse_event_t event, json& /*parsed*/) {
        const bool opens = event == json::parse_event_t::object_start ||
                           event == json::parse_event_t::array_start;
        too_deep = too_deep || (opens && depth >= kMaxDepth);
        return true;
      },
      /*allow_exceptions=*/false);
  if (!object.is_object() || too_deep) {
    return std::nullopt;
  }
  LocalTarget target;
  target.address = remote_address;
  for (const auto& [name, value] : object.items()) {
    const std::string_view problem =
        ApplyField(name, value, own_address, &target);
    if (!problem.empty()) {
      *reason = {FailureCode::kInvalidArgument, name, std::string(problem)};
      return std::nullopt;
    }
  }
  for (const char* required : {"service", "port", "state"}) {
    if (!object.contains(required)) {
      *reason = {FailureCode::kInvalidArgument, required, "is missing"};
      return std::nullopt;
    }
  }
  return target;
}

}  // namespace dragonflytack
