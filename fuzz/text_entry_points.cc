#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "daemon/admin_api.h"
#include "daemon/admin_source.h"
#include "dragonflytack/base/hash.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/observe/trace_context.h"
#include "fuzz/entry_point.h"
#include "fuzz/round_trip.h"
#include "onetime/attempt_id.h"
#include "onetime/one_time_key.h"
#include "store/store_protocol.h"

// Entry points for short texts: headers, addresses and admin requests.
namespace dragonflytack {

namespace {

constexpr char kSecret[] = "0123456789abcdef";

std::vector<std::string> HostPortSeeds() {
  return {"127.0.0.1:80", "[::1]:65535", "[::ffff:10.0.0.1]:1"};
}

std::string CheckHostPort(const std::string& input) {
  const auto address = HostPort::Parse(input);
  if (address && address->address.find_first_not_of(
                     "0123456789abcdefABCDEF.:") != std::string::npos) {
    return "the address is not a numeric IP address";
  }
  return CheckRoundTrip(
      input, AcceptAnyCode,
      [](const std::string& text, Failure*) { return HostPort::Parse(text); },
      [](const HostPort& value) { return value.ToString(); });
}

std::vector<std::string> TraceparentSeeds() {
  return {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
          "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-fe"};
}

std::string CheckTraceparent(const std::string& input) {
  return CheckRoundTrip(
      input, AcceptAnyCode,
      [](const std::string& text, Failure*) {
        return TraceContext::Parse(text);
      },
      [](const TraceContext& value) { return value.ToHeader(); });
}

std::vector<std::string> VersionSeeds() {
  return {"0", "17", "18446744073709551615"};
}

std::string CheckVersion(const std::string& input) {
  return CheckRoundTrip(
      input, AcceptAnyCode,
      [](const std::string& text, Failure*) {
        return StoreProtocol::ParseVersion(text);
      },
      [](StoreVersion version) { return std::to_string(version); });
}

std::vector<std::string> AttemptSeeds() {
  return {AttemptId{"node.with-dots.1", 1'700'000'000'000, 2, 3}.ToText()};
}

std::string CheckAttempt(const std::string& input) {
  return CheckRoundTrip(
      input, AcceptAnyCode,
      [](const std::string& text, Failure*) { return AttemptId::Parse(text); },
      [](const AttemptId& id) { return id.ToText(); });
}

std::optional<OneTimeKey> DecodeKey(const std::string& text, Failure* reason) {
  return OneTimeKey::Parse(text, kSecret, reason);
}

std::string EncodeKey(const OneTimeKey& key) {
  return key.ToText(kSecret);
}

std::vector<std::string> KeySeeds() {
  return {EncodeKey({"node.with-dots.1", 12, 1'700'000'000'000,
                     std::string(OneTimeKey::kIdDigits, 'a')}),
          EncodeKey({"a", UINT64_MAX, INT64_MAX,
                     std::string(OneTimeKey::kIdDigits, '0')})};
}

// Checks the input unchanged and with the correct code, because a mutated key
// with its old code is never accepted.
std::string CheckKey(const std::string& input) {
  const std::string body = input.substr(0, input.rfind('.'));
  const std::string with_valid_code =
      body + "." +
      ToHex(HmacSha256(kSecret, body).substr(0, OneTimeKey::kMacDigits / 2));
  for (const std::string& text : {input, with_valid_code}) {
    std::string problem = CheckRoundTrip(
        text, IsOneOf<FailureCode::kInvalidKey, FailureCode::kAuthentication>,
        DecodeKey, EncodeKey);
    Failure reason;
    const std::optional<OneTimeKey> key = DecodeKey(text, &reason);
    if (problem.empty() && key && EncodeKey(*key) != text) {
      problem = "two texts decode to the same key";
    }
    if (!problem.empty()) {
      return problem;
    }
  }
  return {};
}

class FixedSource final : public AdminSource {
 public:
  nlohmann::json Status() override { return {{"node", "n1"}}; }
  nlohmann::json Nodes() override { return {{"nodes", "\xff"}}; }
  std::optional<nlohmann::json> Routes(const std::string& service) override {
    return nlohmann::json{{"service", service}};
  }
  std::optional<nlohmann::json> Table() override { return std::nullopt; }
  std::optional<nlohmann::json> Evidence(
      const std::string& /*since*/) override {
    return nlohmann::json{{"service", "roster"}};
  }
  nlohmann::json Rollouts() override { return {{"controller", false}}; }
  std::vector<Span> Trace(const std::string& trace_id) override {
    Span span;
    span.trace_id = trace_id;
    return {span};
  }
  std::string Metrics() override { return "a 1\n"; }
  Failure HandleAnnouncement(const LocalTarget&) override { return {}; }
};

std::vector<std::string> AdminSeeds() {
  return {"GET /status\n",
          "GET /nodes\n",
          "GET /routes?service=roster\n",
          "GET /table\n",
          "GET /trace?id=0af7651916cd43dd8448eb211c80319c\n",
          "GET /evidence\n",
          "GET /rollouts\n",
          "GET /metrics\n",
          "GET /healthz\n",
          "POST /announce\n{\"service\":\"a\",\"port\":1,\"state\":\"ready\"}"};
}

// An input consists of a method, a path with at most one query parameter, and a
// body after the first line break.
std::string CheckAdmin(const std::string& input) {
  const auto split = [](const std::string& text, char separator) {
    const size_t at = std::min(text.find(separator), text.size());
    return std::pair(text.substr(0, at),
                     text.substr(std::min(at + 1, text.size())));
  };
  const auto [line, body] = split(input, '\n');
  const auto [method, target] = split(line, ' ');
  const auto [path, query] = split(target, '?');
  AdminRequest request{.method = method, .path = path, .body = body};
  request.remote_address = "127.0.0.1";
  request.query.insert(split(query, '='));
  FixedSource source;
  const AdminApi api("", "192.0.2.7", &source);
  const AdminResponse response = api.Handle(request);
  if (response.status == 200 && path == "/metrics") {
    ++DecodedValues();
    return {};
  }
  const nlohmann::json response_json =
      nlohmann::json::parse(response.body, nullptr, false);
  if (!response_json.is_object()) {
    return "the response is not a JSON object";
  }
  if (response.status == 200) {
    ++DecodedValues();
    return response_json.contains("error") ? "an error has the status 200" : "";
  }
  return response.status >= 400 && response.status < 600 &&
                 response_json.contains("error") &&
                 response_json["error"].contains("code") &&
                 response_json["error"]["code"].is_string() &&
                 response_json["error"]["code"] !=
                     FailureCodeName(FailureCode::kNone)
             ? ""
             : "an error has no code";
}

}  // namespace

std::vector<EntryPoint> TextEntryPoints() {
  return {{"host_port", HostPortSeeds, CheckHostPort},
          {"traceparent", TraceparentSeeds, CheckTraceparent},
          {"store_version", VersionSeeds, CheckVersion},
          {"attempt_id", AttemptSeeds, CheckAttempt},
          {"one_time_key", KeySeeds, CheckKey},
          {"admin", AdminSeeds, CheckAdmin, /*accepts_seeds=*/false}};
}

}  // namespace dragonflytack
