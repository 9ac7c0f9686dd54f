#include "distribution/seed_list.h"

#include <nlohmann/json.hpp>

namespace dragonflytack {

using nlohmann::json;

std::optional<SeedList> SeedList::Parse(const std::string& text,
                                        Failure* reason) {
  *reason = Failure{FailureCode::kInvalidMessage, "seeds",
                    "not an object of data centres with region and peers"};
  if (text.size() > kMaxBytes) {
    *reason = Failure{FailureCode::kTooLarge, "seeds", "over 100 kB"};
    return std::nullopt;
  }
  // Without a limit of the depth, the destructor could overflow the stack.
  const json::parser_callback_t shallow = [](int depth, json::parse_event_t,
                                             json&) { return depth <= 4; };
  const json value = json::parse(text, shallow, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  SeedList list;
  for (const auto& [name, entry] : value.items()) {
    if (!entry.is_object() || !entry.contains("region") ||
        !entry["region"].is_string() || !entry.contains("peers") ||
        !entry["peers"].is_array() || entry["peers"].size() > kMaxPeers) {
      return std::nullopt;
    }
    DataCentre& data_centre = list.data_centres[name];
    data_centre.region = entry["region"].get<std::string>();
    for (const json& peer : entry["peers"]) {
      const std::optional<HostPort> address =
          peer.is_string() ? HostPort::Parse(peer.get<std::string>())
                           : std::nullopt;
      if (!address.has_value()) {
        return std::nullopt;
      }
      data_centre.peers.push_back(*address);
    }
  }
  *reason = Failure{};
  return list;
}

std::string SeedList::ToJson() const {
  json value = json::object();
  for (const auto& [name, data_centre] : data_centres) {
    json peers = json::array();
    for (const HostPort& peer : data_centre.peers) {
      peers.push_back(peer.ToString());
    }
    value[name] = {{"region", data_centre.region}, {"peers", peers}};
  }
  // The record of a faulty peer may contain a data centre or region that is not
  // valid UTF-8. By default, dump() throws an exception on it.
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace dragonflytack
