#include "rollout/evidence_json.h"

#include <utility>

namespace dragonflytack {

namespace {

using nlohmann::json;

// Far above the longest run time in microseconds.
constexpr uint64_t kMaxBucket = 256;

bool ReadCount(const json& value, uint64_t* count) {
  *count = value.is_number_unsigned() ? value.get<uint64_t>() : 0;
  return value.is_number_unsigned();
}

bool ReadRoute(const json& value, RouteEvidence* route) {
  if (!value.is_array() || value.size() != 3 || !value[2].is_array() ||
      !ReadCount(value[0], &route->responses) ||
      !ReadCount(value[1], &route->failures)) {
    return false;
  }
  for (const json& pair : value[2]) {
    uint64_t bucket = 0;
    uint64_t count = 0;
    if (!pair.is_array() || pair.size() != 2 || !ReadCount(pair[0], &bucket) ||
        !ReadCount(pair[1], &count) || bucket > kMaxBucket) {
      return false;
    }
    route->run_times[static_cast<int>(bucket)] = count;
  }
  return route->failures <= route->responses;
}

}  // namespace

json EvidenceToJson(const ReleaseEvidence& evidence) {
  json routes = json::object();
  for (const auto& [name, route] : evidence.routes) {
    json run_times = json::array();
    for (const auto& [bucket, count] : route.run_times) {
      run_times.push_back(json::array({bucket, count}));
    }
    routes[name] =
        json::array({route.responses, route.failures, std::move(run_times)});
  }
  return {{"service", evidence.service},
          {"release", evidence.release},
          {"routes", std::move(routes)}};
}

std::optional<ReleaseEvidence> EvidenceFromJson(const json& object) {
  ReleaseEvidence evidence;
  const auto service = object.find("service");
  const auto release = object.find("release");
  const auto routes = object.find("routes");
  if (!object.is_object() || service == object.end() || !service->is_string() ||
      release == object.end() || !release->is_string() ||
      routes == object.end() || !routes->is_object()) {
    return std::nullopt;
  }
  evidence.service = service->get<std::string>();
  evidence.release = release->get<std::string>();
  for (const auto& [name, value] : routes->items()) {
    if (!ReadRoute(value, &evidence.routes[name])) {
      return std::nullopt;
    }
  }
  return evidence;
}

}  // namespace dragonflytack
