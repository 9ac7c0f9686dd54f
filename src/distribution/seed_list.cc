#include "distribution/seed_list.h"

#include <nlohmann/json.hpp>

namespace dragonflytack {

namespace {

using nlohmann::json;

// Keeps the first of several failures.
void RecordInvalid(const std::string& entry,
                   const char* detail,
                   Failure* first) {
  if (first->code == FailureCode::kNone) {
    *first = Failure{FailureCode::kInvalidMessage, "seeds/" + entry, detail};
  }
}

// Reads the peers of a data centre up to the maximum and leaves out those that
// are no addresses.
std::vector<HostPort> ReadPeers(const std::string& data_centre,
                                const json& peers,
                                Failure* first) {
  std::vector<HostPort> result;
  for (const json& peer : peers) {
    const std::optional<HostPort> address =
        peer.is_string() ? HostPort::Parse(peer.get<std::string>())
                         : std::nullopt;
    if (!address.has_value()) {
      RecordInvalid(data_centre, "a peer is not an address with a port", first);
    } else if (result.size() == SeedList::kMaxPeers) {
      RecordInvalid(data_centre, "too many peers", first);
      break;
    } else {
      result.push_back(*address);
    }
  }
  return result;
}

}  // namespace

std::optional<SeedList> SeedList::Parse(const std::string& text,
                                        Failure* reason) {
  if (text.size() > kMaxBytes) {
    *reason = Failure{FailureCode::kTooLarge, "seeds", "over 100 kB"};
    return std::nullopt;
  }
  // Without a limit of the depth, the destructor could overflow the stack.
  const json::parser_callback_t shallow = [](int depth, json::parse_event_t,
                                             json&) { return depth <= 4; };
  const json value = json::parse(text, shallow, false);
  if (!value.is_object()) {
    *reason = Failure{FailureCode::kInvalidMessage, "seeds",
                      "not an object of data centres with region and peers"};
    return std::nullopt;
  }
  *reason = Failure{};
  SeedList list;
  for (const auto& [name, entry] : value.items()) {
    if (!entry.is_object() || !entry.contains("region") ||
        !entry["region"].is_string() || !entry.contains("peers") ||
        !entry["peers"].is_array()) {
      RecordInvalid(name, "not an object with region and peers", reason);
      continue;
    }
    list.data_centres[name] = {entry["region"].get<std::string>(),
                               ReadPeers(name, entry["peers"], reason)};
  }
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
