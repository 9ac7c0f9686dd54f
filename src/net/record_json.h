#ifndef DRAGONFLYTACK_NET_RECORD_JSON_H_
#define DRAGONFLYTACK_NET_RECORD_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/registry/node_record.h"

namespace dragonflytack {

// Returns the name of a state as it appears in JSON, for example "ready".
std::string_view TargetStateName(TargetState state);

// Returns std::nullopt for an unknown name.
std::optional<TargetState> ParseTargetState(std::string_view name);

// Converts a run to a JSON object with the names of its fields.
nlohmann::json TargetRunToJson(const TargetRun& run);

// Returns std::nullopt if a field is missing, has the wrong type, or is out of
// range, or if the run is empty.
std::optional<TargetRun> TargetRunFromJson(const nlohmann::json& object);

// Converts a record to a JSON object with the names of its fields, for
// handshakes and for the admin port.
nlohmann::json RecordToJson(const NodeRecord& record);

// Returns std::nullopt, with kInvalidMessage and the name of the field, if a
// field is missing, has the wrong type, or is out of range.
std::optional<NodeRecord> RecordFromJson(const nlohmann::json& object,
                                         Failure* reason);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_RECORD_JSON_H_
