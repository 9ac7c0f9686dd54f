#include "accounts/allowance_message.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "accounts/usage_window.h"
#include "base/cbor_bounds.h"
#include "distribution/cbor_reader.h"
#include "dragonflytack/base/hash.h"
#include "dragonflytack/table/account_row.h"

namespace dragonflytack {

namespace {

using Json = nlohmann::json;

constexpr size_t kMacBytes = 32;
constexpr int kMaxDepth = 6;
// A message names at most as many accounts as a table of 1 MB can have.
constexpr size_t kMaxBytes = 1U << 20;
constexpr size_t kMaxName = 63;
constexpr int64_t kMaxMillis = 3'600'000;
// Shares are sent in millionths.
constexpr double kShareUnits = 1e6;

std::string Sign(std::string_view shared_key,
                 std::string_view label,
                 const Json& json) {
  std::string body;
  Json::to_cbor(json, body);
  return HmacSha256(shared_key, std::string(label).append(body)) + body;
}

Json Verify(std::string_view bytes,
            std::string_view shared_key,
            std::string_view label,
            Failure* reason) {
  if (bytes.size() > kMaxBytes) {
    *reason = {FailureCode::kTooLarge, "allowances",
               "the message exceeds 1 MiB"};
    return Json(Json::value_t::discarded);
  }
  const std::string_view body = bytes.substr(std::min(kMacBytes, bytes.size()));
  if (bytes.size() < kMacBytes ||
      !ConstantTimeEqual(
          bytes.substr(0, kMacBytes),
          HmacSha256(shared_key, std::string(label).append(body)))) {
    *reason = {FailureCode::kAuthentication, "allowances",
               "the authentication code does not match"};
    return Json(Json::value_t::discarded);
  }
  *reason = {FailureCode::kInvalidMessage, "allowances", "malformed message"};
  return IsBoundedCbor(body, kMaxDepth)
             ? Json::from_cbor(body.begin(), body.end(), /*strict=*/true,
                               /*allow_exceptions=*/false)
             : Json(Json::value_t::discarded);
}

constexpr std::string_view kRequestLabel = "dragonflytack allowances 1\n";
constexpr std::string_view kResponseLabel =
    "dragonflytack allowances response 1\n";

UsageCounts ReadCounts(CborReader* reader) {
  UsageCounts counts;
  const Json& array = reader->Array();
  if (array.size() > UsageWindow::kSlots + 1) {
    reader->Fail();
    return counts;
  }
  CborReader items(array);
  while (items.ok() && !items.AtEnd()) {
    counts.push_back(static_cast<uint32_t>(items.Unsigned(UINT32_MAX)));
  }
  if (!items.ok()) {
    reader->Fail();
  }
  return counts;
}

uint64_t ShareUnits(double share) {
  return static_cast<uint64_t>(std::lround(share * kShareUnits));
}

double ReadShare(CborReader* reader) {
  return static_cast<double>(
             reader->Unsigned(static_cast<uint64_t>(kShareUnits))) /
         kShareUnits;
}

int64_t Bounded(Milliseconds time) {
  return std::clamp<int64_t>(time.count(), 0, kMaxMillis);
}

Milliseconds ReadMillis(CborReader* reader) {
  return Milliseconds(reader->Signed(0, kMaxMillis));
}

bool ReadReport(const Json& json, AllowanceReport* report) {
  CborReader reader(json);
  report->account = reader.Text(kMaxName);
  report->limit.version = reader.Unsigned();
  report->limit.rate = static_cast<int>(reader.Unsigned(AccountRow::kMaxRate));
  report->limit.burst = static_cast<int>(reader.Unsigned(AccountRow::kMaxRate));
  report->used = static_cast<uint32_t>(reader.Unsigned(UINT32_MAX));
  report->held = static_cast<uint32_t>(reader.Unsigned(UINT32_MAX));
  report->waiting = static_cast<uint32_t>(reader.Unsigned(UINT32_MAX));
  report->expected = static_cast<uint32_t>(reader.Unsigned(UINT32_MAX));
  report->is_final = reader.Boolean();
  report->skipped = static_cast<uint32_t>(reader.Unsigned(UINT32_MAX));
  report->share = ReadShare(&reader);
  report->share_age = ReadMillis(&reader);
  report->usage_home = reader.Text(kMaxName);
  report->usage = ReadCounts(&reader);
  report->earlier_usage = ReadCounts(&reader);
  report->usage_age = ReadMillis(&reader);
  return reader.Finished() && !report->account.empty();
}

bool ReadGrant(const Json& json, AllowanceGrant* grant) {
  CborReader reader(json);
  grant->account = reader.Text(kMaxName);
  grant->permits = static_cast<uint32_t>(reader.Unsigned(UINT32_MAX));
  grant->share = ReadShare(&reader);
  grant->retry_after = ReadMillis(&reader);
  grant->usage = ReadCounts(&reader);
  grant->earlier_usage = ReadCounts(&reader);
  if (reader.ok() && !reader.AtEnd()) {
    AllowanceRelay& relay = grant->relay.emplace();
    relay.held = static_cast<uint32_t>(reader.Unsigned(UINT32_MAX));
    relay.lease = ReadMillis(&reader);
    relay.home = reader.Text(kMaxName);
    relay.usage_age = ReadMillis(&reader);
  }
  return reader.Finished();
}

}  // namespace

std::string AllowanceRequest::Encode(std::string_view shared_key) const {
  Json items = Json::array();
  for (const AllowanceReport& report : reports) {
    items.push_back(Json::array(
        {report.account, report.limit.version, report.limit.rate,
         report.limit.burst, report.used, report.held, report.waiting,
         report.expected, report.is_final, report.skipped,
         ShareUnits(report.share), Bounded(report.share_age), report.usage_home,
         report.usage, report.earlier_usage, Bounded(report.usage_age)}));
  }
  Json message = Json::array({from, incarnation, sequence, std::move(items)});
  if (is_to_agent) {
    // Nodes without agents refuse it, so that the sender asks the home nodes.
    message.push_back(true);
  }
  return Sign(shared_key, kRequestLabel, message);
}

std::optional<AllowanceRequest> AllowanceRequest::Decode(
    std::string_view bytes,
    std::string_view shared_key,
    Failure* reason) {
  const Json json = Verify(bytes, shared_key, kRequestLabel, reason);
  if (json.is_discarded()) {
    return std::nullopt;
  }
  CborReader reader(json);
  AllowanceRequest request;
  // A node id, with the suffix of an agent.
  request.from = reader.Text(kMaxName + 1);
  request.incarnation = reader.Unsigned();
  request.sequence = reader.Unsigned();
  for (const Json& item : reader.Array()) {
    if (!ReadReport(item, &request.reports.emplace_back())) {
      return std::nullopt;
    }
  }
  if (reader.ok() && !reader.AtEnd()) {
    request.is_to_agent = reader.Boolean();
  }
  if (!reader.Finished()) {
    return std::nullopt;
  }
  *reason = {};
  return request;
}

std::string AllowanceResponse::Encode(std::string_view shared_key) const {
  Json items = Json::array();
  for (const AllowanceGrant& grant : grants) {
    Json item = Json::array(
        {grant.account, grant.permits, ShareUnits(grant.share),
         Bounded(grant.retry_after), grant.usage, grant.earlier_usage});
    if (grant.relay) {
      item.insert(item.end(),
                  {grant.relay->held, Bounded(grant.relay->lease),
                   grant.relay->home, Bounded(grant.relay->usage_age)});
    }
    items.push_back(std::move(item));
  }
  return Sign(shared_key, kResponseLabel, Json::array({std::move(items)}));
}

std::optional<AllowanceResponse> AllowanceResponse::Decode(
    std::string_view bytes,
    std::string_view shared_key,
    Failure* reason) {
  const Json json = Verify(bytes, shared_key, kResponseLabel, reason);
  if (json.is_discarded()) {
    return std::nullopt;
  }
  CborReader reader(json);
  AllowanceResponse response;
  for (const Json& item : reader.Array()) {
    if (!ReadGrant(item, &response.grants.emplace_back())) {
      return std::nullopt;
    }
  }
  if (!reader.Finished()) {
    return std::nullopt;
  }
  *reason = {};
  return response;
}

}  // namespace dragonflytack
