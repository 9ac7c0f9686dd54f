#include "target_standin/execution_counts.h"

#include <nlohmann/json.hpp>

namespace dragonflytack {

namespace {

nlohmann::json CountsAboveOne(
    const std::unordered_map<std::string, int>& counts) {
  nlohmann::json repeated = nlohmann::json::object();
  for (const auto& [name, count] : counts) {
    if (count > 1) {
      repeated[name] = count;
    }
  }
  return repeated;
}

}  // namespace

void ExecutionCounts::BoundedCounter::Record(std::string_view name) {
  if (name.empty()) {
    return;
  }
  const auto [found, added] = counts.try_emplace(std::string(name), 0);
  ++found->second;
  if (added) {
    insertion_order.push_back(found->first);
    if (insertion_order.size() > kMaxNames) {
      counts.erase(insertion_order.front());
      insertion_order.pop_front();
    }
  }
}

int ExecutionCounts::BoundedCounter::Count(const std::string& name) const {
  const auto found = counts.find(name);
  return found == counts.end() ? 0 : found->second;
}

void ExecutionCounts::Record(std::string_view key,
                             std::string_view request_id) {
  ++total_;
  keys_.Record(key);
  requests_.Record(request_id);
}

int ExecutionCounts::CountForRequest(const std::string& request_id) const {
  return requests_.Count(request_id);
}

int ExecutionCounts::CountForKey(const std::string& key) const {
  return keys_.Count(key);
}

std::string ExecutionCounts::ToJson() const {
  return nlohmann::json{{"total", total_},
                        {"keys", keys_.counts.size()},
                        {"requests", requests_.counts.size()},
                        {"repeated_keys", CountsAboveOne(keys_.counts)},
                        {"repeated_requests", CountsAboveOne(requests_.counts)}}
      .dump();
}

std::string ExecutionCounts::RequestsToJson() const {
  return nlohmann::json(requests_.counts).dump();
}

}  // namespace dragonflytack
