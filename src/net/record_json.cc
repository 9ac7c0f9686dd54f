#include "net/record_json.h"

#include <array>
#include <cstdint>
#include <utility>
#include <vector>

namespace dragonflytack {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> kStateNames = {
    "starting", "warming", "ready", "draining", "left"};

// Reads the fields of one object and keeps the name of the first invalid one.
class FieldReader {
 public:
  explicit FieldReader(const json& object) : object_(object) {}

  void Read(const char* name, std::string* value) {
    const json* field = Find(name);
    if (field == nullptr || !field->is_string() ||
        field->get_ref<const std::string&>().size() >
            NodeRecord::kMaxTextBytes) {
      MarkInvalid(name);
      return;
    }
    *value = field->get<std::string>();
  }

  template <typename Integer>
  void Read(const char* name, Integer* value, uint64_t maximum) {
    const json* field = Find(name);
    if (field == nullptr || !field->is_number_integer() ||
        (!field->is_number_unsigned() && field->get<int64_t>() < 0) ||
        field->get<uint64_t>() > maximum) {
      MarkInvalid(name);
      return;
    }
    *value = field->get<Integer>();
  }

  void MarkInvalid(const char* name) {
    if (invalid_field_.empty()) {
      invalid_field_ = name;
    }
  }

  const std::string& invalid_field() const { return invalid_field_; }

 private:
  const json* Find(const char* name) const {
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
  }

  const json& object_;
  std::string invalid_field_;
};

std::vector<RolloutShare> SharesFromJson(const json& list,
                                         FieldReader* record) {
  std::vector<RolloutShare> shares;
  if (!list.is_array() || list.size() > RolloutShare::kMaxShares) {
    record->MarkInvalid("rollout_shares");
    return shares;
  }
  for (const json& item : list) {
    RolloutShare share;
    FieldReader reader(item);
    if (item.is_object()) {
      reader.Read("service", &share.service);
      reader.Read("release", &share.release);
      reader.Read("share", &share.share, RolloutShare::kFull);
      reader.Read("epoch", &share.epoch, UINT64_MAX);
    }
    if (!reader.invalid_field().empty() || share.service.empty()) {
      record->MarkInvalid("rollout_shares");
      return shares;
    }
    shares.push_back(std::move(share));
  }
  return shares;
}

}  // namespace

std::string_view TargetStateName(TargetState state) {
  return kStateNames[static_cast<size_t>(state)];
}

std::optional<TargetState> ParseTargetState(std::string_view name) {
  for (size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == name) {
      return static_cast<TargetState>(i);
    }
  }
  return std::nullopt;
}

json TargetRunToJson(const TargetRun& run) {
  return {{"instance_hash", run.instance_hash}, {"started_ms", run.started_ms}};
}

std::optional<TargetRun> TargetRunFromJson(const json& object) {
  if (!object.is_object()) {
    return std::nullopt;
  }
  TargetRun run;
  FieldReader reader(object);
  reader.Read("instance_hash", &run.instance_hash, TargetRun::kMaxNumber);
  reader.Read("started_ms", &run.started_ms, TargetRun::kMaxNumber);
  return reader.invalid_field().empty() && !run.empty() ? std::optional(run)
                                                        : std::nullopt;
}

json RecordToJson(const NodeRecord& record) {
  json object = {{"id", record.id},
                 {"incarnation", record.incarnation},
                 {"sequence", record.sequence},
                 {"region", record.region},
                 {"data_centre", record.data_centre},
                 {"address", record.address},
                 {"peer_port", record.peer_port},
                 {"mesh_port", record.mesh_port},
                 {"admin_port", record.admin_port},
                 {"service", record.service},
                 {"state", TargetStateName(record.state)},
                 {"warming_since_ms", record.warming_since_ms},
                 {"slots", record.slots},
                 {"successor", record.successor}};
  // Records without the optional fields keep the form that peers of earlier
  // versions sign.
  if (!record.release.empty()) {
    object["release"] = record.release;
  }
  for (const RolloutShare& share : record.rollout_shares) {
    object["rollout_shares"].push_back({{"service", share.service},
                                        {"release", share.release},
                                        {"share", share.share},
                                        {"epoch", share.epoch}});
  }
  if (!record.departure.empty()) {
    object["departure"] = TargetRunToJson(record.departure);
  }
  return object;
}

std::optional<NodeRecord> RecordFromJson(const json& object, Failure* reason) {
  NodeRecord record;
  FieldReader reader(object);
  std::string state;
  reader.Read("id", &record.id);
  reader.Read("incarnation", &record.incarnation, NodeRecord::kMaxNumber);
  reader.Read("sequence", &record.sequence, NodeRecord::kMaxNumber);
  reader.Read("region", &record.region);
  reader.Read("data_centre", &record.data_centre);
  reader.Read("address", &record.address);
  reader.Read("peer_port", &record.peer_port, UINT16_MAX);
  reader.Read("mesh_port", &record.mesh_port, UINT16_MAX);
  reader.Read("admin_port", &record.admin_port, UINT16_MAX);
  reader.Read("service", &record.service);
  reader.Read("state", &state);
  reader.Read("warming_since_ms", &record.warming_since_ms,
              NodeRecord::kMaxNumber);
  reader.Read("slots", &record.slots, NodeRecord::kMaxSlots);
  reader.Read("successor", &record.successor);
  if (object.contains("release")) {
    reader.Read("release", &record.release);
  }
  if (const auto list = object.find("rollout_shares"); list != object.end()) {
    record.rollout_shares = SharesFromJson(*list, &reader);
  }
  if (const auto departure = object.find("departure");
      departure != object.end()) {
    const std::optional<TargetRun> run = TargetRunFromJson(*departure);
    if (!run) {
      reader.MarkInvalid("departure");
    }
    record.departure = run.value_or(TargetRun());
  }
  const std::optional<TargetState> parsed_state = ParseTargetState(state);
  if (!parsed_state) {
    reader.MarkInvalid("state");
  }
  const std::pair<const char*, const std::string&> required[] = {
      {"id", record.id},
      {"region", record.region},
      {"data_centre", record.data_centre},
      {"address", record.address}};
  for (const auto& [name, text] : required) {
    if (text.empty()) {
      reader.MarkInvalid(name);
    }
  }
  if (!reader.invalid_field().empty()) {
    *reason = {FailureCode::kInvalidMessage, "node record",
               "field " + reader.invalid_field() + " is missing or invalid"};
    return std::nullopt;
  }
  record.state = *parsed_state;
  return record;
}

}  // namespace dragonflytack
