#include <algorithm>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "calls/http_headers.h"
#include "calls/pipeline_reader.h"
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
  void HandleAnnouncement(const LocalTarget&,
                          AnnouncementReply reply) override {
    reply({});
  }
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
  AdminResponse response;
  api.Handle(request,
             [&response](const AdminResponse& sent) { response = sent; });
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

std::vector<std::string> PipelineSeeds() {
  const std::string get = "GET /s/x?a=%20 HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string head =
      "HEAD /s/y HTTP/1.1\r\nhost: h\r\nConnection: keep-alive\r\n\r\n";
  const std::string closing =
      "OPTIONS /s/z HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  return {get, head + get + get, get + closing + get,
          get + "POST /s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n" +
              "abc" + get};
}

// Takes all heads from the input while it arrives in pieces of `step` bytes.
std::vector<RequestHead> TakeHeads(const std::string& input,
                                   size_t step,
                                   PipelineReader* reader) {
  std::vector<RequestHead> heads;
  for (size_t size = step;; size += step) {
    const std::string_view arrived = std::string_view(input).substr(0, size);
    while (const RequestHead* head =
               reader->Next(arrived.substr(reader->taken_bytes()))) {
      heads.push_back(*head);
    }
    if (size >= input.size()) {
      return heads;
    }
  }
}

// Any input is valid: the requests that are not started early wait. Those that
// are must be safe, without a body, and the bytes at the start of the input.
std::string CheckPipeline(const std::string& input) {
  constexpr size_t kMaxRequests = 8;
  constexpr size_t kPieces = 16;
  PipelineReader whole(kMaxRequests);
  PipelineReader pieces(kMaxRequests);
  const std::vector<RequestHead> heads =
      TakeHeads(input, input.size() + 1, &whole);
  if (TakeHeads(input, input.size() / kPieces + 1, &pieces) != heads) {
    return "the heads depend on the pieces in which they arrive";
  }
  if (heads.size() >= kMaxRequests) {
    return "too many heads were taken";
  }
  const std::string_view taken =
      std::string_view(input).substr(0, whole.taken_bytes());
  if (!heads.empty() && !taken.ends_with("\r\n\r\n")) {
    return "the last head is incomplete";
  }
  if (taken.find('\0') != std::string_view::npos ||
      taken.find("\n\n") != std::string_view::npos) {
    return "a head has an ambiguous end of line";
  }
  for (size_t i = 0; i < heads.size(); ++i) {
    const RequestOrder order = heads[i].FindOrder();
    if (order != RequestOrder::kMayOvertake &&
        (order != RequestOrder::kMayOvertakeAsLast || i + 1 < heads.size())) {
      return "a request was taken that must wait, or after a closing one";
    }
    for (const auto& [name, value] : heads[i].headers) {
      if (IsHeaderName(name, "Content-Length") ||
          IsHeaderName(name, "Transfer-Encoding")) {
        return "a request with a body was taken";
      }
    }
    const size_t before = pieces.taken_bytes();
    PipelineReader other(kMaxRequests);
    TakeHeads(input, input.size() + 1, &other);
    RequestHead wrong = heads.front();
    wrong.uri += "x";
    if (other.Deliver(wrong, input)) {
      return "another request was accepted";
    }
    const size_t size =
        i + 1 < heads.size()
            ? input.find("\r\n\r\n", whole.taken_bytes() - before) + 4 -
                  (whole.taken_bytes() - before)
            : before;
    if (!pieces.Deliver(heads[i],
                        input.substr(whole.taken_bytes() - before + size))) {
      return "a request that was taken was not accepted";
    }
    if (before - pieces.taken_bytes() != size) {
      return "a head has a wrong size";
    }
  }
  DecodedValues() += heads.empty() ? 0 : 1;
  return {};
}

}  // namespace

std::vector<EntryPoint> TextEntryPoints() {
  return {{"host_port", HostPortSeeds, CheckHostPort},
          {"traceparent", TraceparentSeeds, CheckTraceparent},
          {"store_version", VersionSeeds, CheckVersion},
          {"attempt_id", AttemptSeeds, CheckAttempt},
          {"one_time_key", KeySeeds, CheckKey},
          {"pipelined_requests", PipelineSeeds, CheckPipeline},
          {"admin", AdminSeeds, CheckAdmin, /*accepts_seeds=*/false}};
}

}  // namespace dragonflytack
