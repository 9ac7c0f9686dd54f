#include "daemon/admin_api.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "daemon/admin_source.h"
#include "daemon/announcement.h"
#include "dragonflytack/base/admin_authorization.h"
#include "dragonflytack/base/hash.h"
#include "net/loopback.h"
#include "rollout/evidence_json.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

enum HttpStatus {
  kOk = 200,
  kBadRequest = 400,
  kUnauthorized = 401,
  kForbidden = 403,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  kTooLarge = 413,
  kUnavailable = 503,
};

constexpr size_t kTraceIdLength = 32;

AdminResponse Ok(const json& body) {
  // A faulty peer may send a table whose strings are not valid UTF-8. Replacing
  // the invalid bytes keeps dump() from throwing.
  return {kOk, "application/json",
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

AdminResponse Error(HttpStatus status, const Failure& failure) {
  const json body = {{"error",
                      {{"code", FailureCodeName(failure.code)},
                       {"subject", failure.subject},
                       {"detail", failure.detail}}}};
  return {status, "application/json",
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

// Returns a query parameter, or std::nullopt if it is missing or empty.
std::optional<std::string> QueryValue(const AdminRequest& request,
                                      const std::string& name) {
  const auto found = request.query.find(name);
  if (found == request.query.end() || found->second.empty()) {
    return std::nullopt;
  }
  return found->second;
}

AdminResponse MissingParameter(const std::string& name,
                               const std::string& expected) {
  return Error(kBadRequest,
               {FailureCode::kInvalidArgument, name,
                "the query parameter must be given as " + expected});
}

bool IsTraceId(const std::string& text) {
  return text.size() == kTraceIdLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

}  // namespace

const AdminApi::Resource AdminApi::kResources[] = {
    {"GET", "/status", true, &AdminApi::GetStatus},
    {"GET", "/nodes", true, &AdminApi::GetNodes},
    {"GET", "/routes", true, &AdminApi::GetRoutes},
    {"GET", "/table", true, &AdminApi::GetTable},
    {"GET", "/evidence", true, &AdminApi::GetEvidence},
    {"GET", "/rollouts", true, &AdminApi::GetRollouts},
    {"GET", "/trace", true, &AdminApi::GetTrace},
    {"GET", "/metrics", true, &AdminApi::GetMetrics},
    {"GET", "/healthz", false, &AdminApi::GetHealth},
    {"POST", "/announce", false, nullptr},
};

AdminApi::AdminApi(const std::string& shared_key,
                   const std::string& own_address,
                   AdminSource* source)
    : authorization_(shared_key.empty() ? "" : AdminAuthorization(shared_key)),
      own_address_(own_address),
      source_(source) {}

void AdminApi::Handle(const AdminRequest& request, AdminRespond respond) const {
  const Resource* resource = nullptr;
  if (const std::optional<AdminResponse> refusal =
          FindRefusal(request, &resource)) {
    respond(*refusal);
  } else if (resource->handler == nullptr) {
    PostAnnounce(request, respond);
  } else {
    respond((this->*resource->handler)(request));
  }
}

std::optional<AdminResponse> AdminApi::FindRefusal(
    const AdminRequest& request,
    const Resource** found) const {
  const auto* const resource =
      std::find_if(std::begin(kResources), std::end(kResources),
                   [&request](const Resource& candidate) {
                     return candidate.path == request.path;
                   });
  if (resource == std::end(kResources)) {
    return Error(kNotFound, {FailureCode::kNotFound, request.path,
                             "the admin port has no such path"});
  }
  if (resource->method != request.method) {
    return Error(kMethodNotAllowed,
                 {FailureCode::kInvalidArgument, request.path,
                  fmt::format("the method must be {}", resource->method)});
  }
  if (request.body.size() > kMaxBodyBytes) {
    return Error(kTooLarge,
                 {FailureCode::kTooLarge, request.path,
                  fmt::format("the body is over {} bytes", kMaxBodyBytes)});
  }
  if (resource->needs_authorization && !authorization_.empty() &&
      !ConstantTimeEqual(request.authorization, authorization_)) {
    return Error(kUnauthorized,
                 {FailureCode::kAuthentication, request.path,
                  "the header authorization is missing or wrong"});
  }
  *found = resource;
  return std::nullopt;
}

AdminResponse AdminApi::GetStatus(const AdminRequest& /*request*/) const {
  return Ok(source_->Status());
}

AdminResponse AdminApi::GetNodes(const AdminRequest& /*request*/) const {
  return Ok(source_->Nodes());
}

AdminResponse AdminApi::GetRoutes(const AdminRequest& request) const {
  const std::optional<std::string> service = QueryValue(request, "service");
  if (!service) {
    return MissingParameter("service", "the name of a service");
  }
  const std::optional<json> routes = source_->Routes(*service);
  return routes ? Ok(*routes)
                : Error(kNotFound, {FailureCode::kNotFound, *service,
                                    "the table in force has no such service"});
}

AdminResponse AdminApi::GetTable(const AdminRequest& /*request*/) const {
  const std::optional<json> table = source_->Table();
  return table ? Ok(*table)
               : Error(kUnavailable, {FailureCode::kNotFound, "table",
                                      "no table is in force yet"});
}

AdminResponse AdminApi::GetEvidence(const AdminRequest& request) const {
  const std::optional<json> evidence =
      source_->Evidence(QueryValue(request, kEvidenceSince).value_or(""));
  // The requester has the evidence already.
  return evidence ? Ok(*evidence) : AdminResponse{};
}

AdminResponse AdminApi::GetRollouts(const AdminRequest& /*request*/) const {
  return Ok(source_->Rollouts());
}

AdminResponse AdminApi::GetTrace(const AdminRequest& request) const {
  const std::optional<std::string> id = QueryValue(request, "id");
  if (!id || !IsTraceId(*id)) {
    return MissingParameter("id", "32 hexadecimal digits");
  }
  json spans = json::array();
  for (const Span& span : source_->Trace(*id)) {
    spans.push_back({{"trace_id", span.trace_id},
                     {"span_id", span.span_id},
                     {"parent_id", span.parent_id},
                     {"name", span.name},
                     {"node", span.node},
                     {"service", span.service},
                     {"target", span.target},
                     {"attempt", span.attempt},
                     {"outcome", span.outcome},
                     {"table_version", span.table_version},
                     {"start_us", span.start_us},
                     {"end_us", span.end_us}});
  }
  return Ok({{"trace_id", *id}, {"spans", std::move(spans)}});
}

AdminResponse AdminApi::GetMetrics(const AdminRequest& /*request*/) const {
  return {kOk, "text/plain; version=0.0.4", source_->Metrics()};
}

AdminResponse AdminApi::GetHealth(const AdminRequest& /*request*/) const {
  return Ok({{"ok", true}});
}

void AdminApi::PostAnnounce(const AdminRequest& request,
                            const AdminRespond& respond) const {
  if (!IsLoopback(request.remote_address) &&
      request.remote_address != own_address_) {
    respond(Error(kForbidden,
                  {FailureCode::kAuthentication, request.remote_address,
                   "announcements are accepted from the same host only"}));
    return;
  }
  Failure reason;
  const std::optional<LocalTarget> target = ParseAnnouncement(
      request.body, request.remote_address, own_address_, &reason);
  if (!target) {
    respond(Error(kBadRequest, reason));
    return;
  }
  source_->HandleAnnouncement(*target, [respond](const Failure& refusal) {
    respond(refusal.code == FailureCode::kNone ? Ok({{"ok", true}})
                                               : Error(kUnavailable, refusal));
  });
}

}  // namespace dragonflytack
