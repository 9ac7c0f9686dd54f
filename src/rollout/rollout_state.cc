#include "rollout/rollout_state.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "dragonflytack/registry/rollout_share.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

// By RolloutProgress.
constexpr std::array<std::string_view, 4> kNames = {"none", "running",
                                                    "completed", "reverted"};

}  // namespace

std::string_view RolloutProgressName(RolloutProgress progress) {
  return kNames[static_cast<size_t>(progress)];
}

std::string RolloutState::ToJson() const {
  return json{{"release", release},
              {"share", share},
              {"progress", RolloutProgressName(progress)},
              {"lifted", lifted},
              {"started_ms", started_ms}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<RolloutState> RolloutState::FromJson(const std::string& text) {
  const json object = json::parse(text, nullptr, false);
  const auto has = [&object](const char* name, json::value_t type) {
    const auto found = object.find(name);
    return found != object.end() && found->type() == type;
  };
  if (!object.is_object() || !has("release", json::value_t::string) ||
      !has("share", json::value_t::number_unsigned) ||
      !has("progress", json::value_t::string) ||
      !has("lifted", json::value_t::boolean) ||
      !has("started_ms", json::value_t::number_unsigned)) {
    return std::nullopt;
  }
  const auto* const progress = std::find(kNames.begin(), kNames.end(),
                                         object["progress"].get<std::string>());
  const auto share = object["share"].get<uint64_t>();
  if (progress == kNames.end() || share > RolloutShare::kFull) {
    return std::nullopt;
  }
  return RolloutState{
      object["release"].get<std::string>(), static_cast<int>(share),
      static_cast<RolloutProgress>(progress - kNames.begin()),
      object["lifted"].get<bool>(), object["started_ms"].get<int64_t>()};
}

}  // namespace dragonflytack
