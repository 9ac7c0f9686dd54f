#include "store/history_archive.h"

#include <set>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "table/table_json.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

}  // namespace

std::string HistoryArchive::Key(TableVersion version) {
  return fmt::format("{}{:020}", kPrefix, version);
}

std::optional<HistoryArchive> HistoryArchive::Parse(const std::string& text,
                                                    Failure* reason) {
  const json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object() || !value.contains("edits") ||
      !value["edits"].is_array()) {
    *reason = Failure{FailureCode::kInvalidTable, "history",
                      "the archive is not a JSON object with the array edits"};
    return std::nullopt;
  }
  HistoryArchive archive;
  for (const json& item : value["edits"]) {
    std::optional<EditRecord> edit = EditFromJson(item, reason);
    if (!edit) {
      return std::nullopt;
    }
    archive.edits.push_back(*std::move(edit));
  }
  return archive;
}

std::string HistoryArchive::ToJson() const {
  json values = json::array();
  for (const EditRecord& edit : edits) {
    values.push_back(EditToJson(edit));
  }
  return json{{"edits", std::move(values)}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

bool HistoryArchive::Add(std::span<const EditRecord> new_edits) {
  std::set<std::string> edit_ids;
  for (const EditRecord& edit : edits) {
    edit_ids.insert(edit.edit_id);
  }
  bool added = false;
  for (const EditRecord& edit : new_edits) {
    if (edit_ids.insert(edit.edit_id).second) {
      edits.push_back(edit);
      added = true;
    }
  }
  return added;
}

}  // namespace dragonflytack
