#ifndef DRAGONFLYTACK_SRC_ROLLOUT_EVIDENCE_JSON_H_
#define DRAGONFLYTACK_SRC_ROLLOUT_EVIDENCE_JSON_H_

#include <optional>

#include <nlohmann/json.hpp>

#include "dragonflytack/rollout/release_evidence.h"

namespace dragonflytack {

// The query parameter of GET /evidence for the revision that the requester has,
// and the member of the response for the one that it gets.
inline constexpr char kEvidenceSince[] = "since";
inline constexpr char kEvidenceRevision[] = "revision";

// Converts evidence to and from the JSON of the admin port. A route is an array
// of responses, failures and pairs of bucket and count.
nlohmann::json EvidenceToJson(const ReleaseEvidence& evidence);
// Returns std::nullopt if the JSON is malformed.
std::optional<ReleaseEvidence> EvidenceFromJson(const nlohmann::json& object);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROLLOUT_EVIDENCE_JSON_H_
