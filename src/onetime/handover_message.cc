#include "onetime/handover_message.h"

#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/cbor_bounds.h"
#include "base/status_line_checker.h"
#include "dragonflytack/base/hash.h"
#include "onetime/recorded_response.h"

namespace dragonflytack {

namespace {

using Json = nlohmann::json;

constexpr size_t kMacBytes = 32;
// Message, records, record, headers of its response.
constexpr int kMaxDepth = 4;
// Separates these authentication codes from others under the same shared key.
constexpr std::string_view kMacLabel = "dragonflytack handover 1\n";

std::string ComputeMac(std::string_view shared_key, std::string_view body) {
  return HmacSha256(shared_key, std::string(kMacLabel).append(body));
}

Json WriteRecord(const RecordId& id, const Record& record) {
  Json json = {id.high,
               id.low,
               static_cast<int>(record.state),
               record.attempt,
               record.request_digest,
               record.expiry_ms,
               record.finished_ms};
  if (record.response != nullptr) {
    const std::string& body = record.response->body;
    json.push_back(record.response->status);
    Json headers = Json::array();
    for (const auto& [name, value] : record.response->headers) {
      // Header values need not be UTF-8.
      headers.push_back(name);
      headers.push_back(
          Json::binary(std::vector<uint8_t>(value.begin(), value.end())));
    }
    json.push_back(std::move(headers));
    json.push_back(
        Json::binary(std::vector<uint8_t>(body.begin(), body.end())));
  }
  return json;
}

// Checks the range first because Json::get() truncates a number that does not
// fit.
bool ReadInteger(const Json& json, auto* number) {
  using Number = std::remove_pointer_t<decltype(number)>;
  if (!json.is_number_integer() ||
      (json.is_number_unsigned()
           ? !std::in_range<Number>(json.get<uint64_t>())
           : !std::in_range<Number>(json.get<int64_t>()))) {
    return false;
  }
  *number = json.get<Number>();
  return true;
}

bool ReadResponse(const Json& json, Record* record) {
  RecordedResponse response;
  if (!ReadInteger(json[7], &response.status) ||
      !IsFinalStatus(response.status) || !json[8].is_array() ||
      json[8].size() % 2 != 0 || !json[9].is_binary()) {
    return false;
  }
  for (size_t i = 0; i < json[8].size(); i += 2) {
    if (!json[8][i].is_string() || !json[8][i + 1].is_binary()) {
      return false;
    }
    const Json::binary_t& value = json[8][i + 1].get_binary();
    response.headers.emplace_back(json[8][i].get<std::string>(),
                                  std::string(value.begin(), value.end()));
  }
  const Json::binary_t& body = json[9].get_binary();
  response.body.assign(body.begin(), body.end());
  record->response =
      std::make_shared<const RecordedResponse>(std::move(response));
  return true;
}

bool ReadRecord(const Json& json, RecordId* id, Record* record) {
  constexpr size_t kSizeWithoutResponse = 7;
  constexpr size_t kSizeWithResponse = 10;
  int state = 0;
  if (!json.is_array() ||
      (json.size() != kSizeWithoutResponse &&
       json.size() != kSizeWithResponse) ||
      !ReadInteger(json[0], &id->high) || !ReadInteger(json[1], &id->low) ||
      !ReadInteger(json[2], &state) ||
      !ReadInteger(json[3], &record->attempt) ||
      !ReadInteger(json[4], &record->request_digest) ||
      !ReadInteger(json[5], &record->expiry_ms) ||
      !ReadInteger(json[6], &record->finished_ms)) {
    return false;
  }
  // HandOverTo() changes dispatched records to unknown before they are sent.
  if (state <= static_cast<int>(RecordState::kDispatched) ||
      state > static_cast<int>(RecordState::kUnknown)) {
    return false;
  }
  record->state = static_cast<RecordState>(state);
  return json.size() == kSizeWithoutResponse || ReadResponse(json, record);
}

bool ReadProcess(const Json& json, OwnerIncarnation* process) {
  if (!json.is_array() || json.size() != 2 || !json[0].is_string()) {
    return false;
  }
  process->first = json[0].get<std::string>();
  return ReadInteger(json[1], &process->second);
}

bool ReadMessage(const Json& json, HandoverMessage* message) {
  constexpr size_t kSize = 7;
  bool commit = false;
  if (!json.is_array() || json.size() != kSize || !json[0].is_boolean() ||
      !ReadProcess(json[1], &message->from) ||
      !ReadProcess(json[2], &message->to) ||
      !ReadProcess(json[3], &message->owner) ||
      !ReadInteger(json[4], &message->index) ||
      !ReadInteger(json[5], &message->time_ms) || !json[6].is_array()) {
    return false;
  }
  commit = json[0].get<bool>();
  message->kind =
      commit ? HandoverMessage::Kind::kCommit : HandoverMessage::Kind::kChunk;
  for (const Json& item : json[6]) {
    auto& [id, record] = message->records.emplace_back();
    if (!ReadRecord(item, &id, &record)) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string HandoverMessage::Encode(std::string_view shared_key) const {
  Json items = Json::array();
  for (const auto& [id, record] : records) {
    items.push_back(WriteRecord(id, record));
  }
  const Json json = {kind == Kind::kCommit,
                     Json::array({from.first, from.second}),
                     Json::array({to.first, to.second}),
                     Json::array({owner.first, owner.second}),
                     index,
                     time_ms,
                     std::move(items)};
  std::string body;
  Json::to_cbor(json, body);
  std::string bytes = ComputeMac(shared_key, body);
  bytes += body;
  return bytes;
}

std::optional<HandoverMessage> HandoverMessage::Decode(
    std::string_view bytes,
    std::string_view shared_key,
    Failure* reason) {
  if (bytes.size() > kMaxBytes) {
    *reason = {FailureCode::kTooLarge, "handover",
               "the message exceeds 512 KiB"};
    return std::nullopt;
  }
  if (bytes.size() < kMacBytes ||
      !ConstantTimeEqual(bytes.substr(0, kMacBytes),
                         ComputeMac(shared_key, bytes.substr(kMacBytes)))) {
    *reason = {FailureCode::kAuthentication, "handover",
               "the authentication code does not match"};
    return std::nullopt;
  }
  const std::string_view body = bytes.substr(kMacBytes);
  const Json json = IsBoundedCbor(body, kMaxDepth)
                        ? Json::from_cbor(body.begin(), body.end(),
                                          /*strict=*/true,
                                          /*allow_exceptions=*/false)
                        : Json(Json::value_t::discarded);
  HandoverMessage message;
  if (json.is_discarded() || !ReadMessage(json, &message)) {
    *reason = {FailureCode::kInvalidMessage, "handover", "malformed message"};
    return std::nullopt;
  }
  *reason = {};
  return message;
}

}  // namespace dragonflytack
