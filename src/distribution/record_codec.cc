#include "distribution/record_codec.h"

#include <limits>

#include "distribution/cbor_reader.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

// Assigns indexes to the strings of one message in the order of their first
// use.
class StringTable final {
 public:
  size_t IndexOf(const std::string& text) {
    const auto [it, is_new] = indexes_.emplace(text, indexes_.size());
    if (is_new) {
      texts_.push_back(text);
    }
    return it->second;
  }
  json& texts() { return texts_; }

 private:
  std::map<std::string, size_t> indexes_;
  json texts_ = json::array();
};

// The optional fields of a record are last. Trailing optional fields with their
// default values are omitted.
constexpr size_t kRequiredFields = 10;

json WriteShares(const std::vector<RolloutShare>& shares) {
  json list = json::array();
  for (const RolloutShare& share : shares) {
    list.push_back({share.service, share.release,
                    static_cast<unsigned>(share.share), share.epoch});
  }
  return list;
}

std::vector<RolloutShare> ReadShares(CborReader* reader) {
  std::vector<RolloutShare> shares;
  const json& list = reader->Array();
  if (list.size() > RolloutShare::kMaxShares) {
    reader->Fail();
    return shares;
  }
  for (const json& value : list) {
    CborReader fields(value);
    RolloutShare share;
    share.service = fields.Text(NodeRecord::kMaxTextBytes);
    share.release = fields.Text(NodeRecord::kMaxTextBytes);
    share.share = static_cast<int>(fields.Unsigned(RolloutShare::kFull));
    share.epoch = fields.Unsigned();
    if (!fields.Finished() || share.service.empty()) {
      reader->Fail();
      return shares;
    }
    shares.push_back(std::move(share));
  }
  return shares;
}

json WriteRecord(const RecordUpdate& update, StringTable* texts) {
  const NodeRecord& record = update.record;
  // A warm-up starts soon after the incarnation, so the difference has a short
  // encoding. 0 stands for no warm-up.
  const int64_t warming = record.warming_since_ms == 0
                              ? 0
                              : record.warming_since_ms -
                                    static_cast<int64_t>(record.incarnation) +
                                    1;
  json fields = {record.id,
                 record.incarnation,
                 record.sequence,
                 texts->IndexOf(record.region),
                 texts->IndexOf(record.data_centre),
                 record.address,
                 record.peer_port,
                 record.mesh_port,
                 record.admin_port,
                 texts->IndexOf(record.service),
                 static_cast<unsigned>(record.state),
                 warming,
                 record.slots,
                 record.successor,
                 static_cast<unsigned>(update.liveness),
                 update.ended_ago_s,
                 record.release,
                 WriteShares(record.rollout_shares),
                 record.departure.instance_hash,
                 record.departure.started_ms};
  while (fields.size() > kRequiredFields &&
         (fields.back() == json(0) || fields.back() == json("") ||
          fields.back() == json::array())) {
    fields.erase(fields.size() - 1);
  }
  return fields;
}

RecordUpdate ReadRecord(const json& value,
                        const std::vector<std::string>& texts,
                        CborReader* outer) {
  CborReader reader(value);
  const auto text = [&] {
    const uint64_t index = reader.Unsigned();
    if (index >= texts.size()) {
      reader.Fail();
      return std::string();
    }
    return texts[index];
  };
  const auto port = [&] {
    return static_cast<uint16_t>(
        reader.Unsigned(std::numeric_limits<uint16_t>::max()));
  };
  constexpr int64_t kMaxTime = NodeRecord::kMaxNumber;
  RecordUpdate update;
  NodeRecord& record = update.record;
  record.id = reader.Text(RecordCodec::kMaxTextBytes);
  record.incarnation = reader.Unsigned(kMaxTime);
  record.sequence = reader.Unsigned(kMaxTime);
  record.region = text();
  record.data_centre = text();
  record.address = reader.Text(RecordCodec::kMaxTextBytes);
  record.peer_port = port();
  record.mesh_port = port();
  record.admin_port = port();
  record.service = text();
  if (reader.ok() && !reader.AtEnd()) {
    record.state = static_cast<TargetState>(
        reader.Unsigned(static_cast<uint64_t>(TargetState::kLeft)));
  }
  if (reader.ok() && !reader.AtEnd()) {
    const int64_t warming = reader.Signed(-kMaxTime, kMaxTime + 1);
    record.warming_since_ms =
        warming == 0 ? 0
                     : warming + static_cast<int64_t>(record.incarnation) - 1;
    if (record.warming_since_ms < 0 || record.warming_since_ms > kMaxTime) {
      reader.Fail();
    }
  }
  if (reader.ok() && !reader.AtEnd()) {
    record.slots = static_cast<int>(reader.Signed(0, NodeRecord::kMaxSlots));
  }
  if (reader.ok() && !reader.AtEnd()) {
    record.successor = reader.Text(RecordCodec::kMaxTextBytes);
  }
  if (reader.ok() && !reader.AtEnd()) {
    update.liveness = static_cast<Liveness>(
        reader.Unsigned(static_cast<uint64_t>(Liveness::kDead)));
  }
  if (reader.ok() && !reader.AtEnd()) {
    update.ended_ago_s = reader.Unsigned(kMaxTime / 1000);
  }
  if (reader.ok() && !reader.AtEnd()) {
    record.release = reader.Text(NodeRecord::kMaxTextBytes);
  }
  if (reader.ok() && !reader.AtEnd()) {
    record.rollout_shares = ReadShares(&reader);
  }
  if (reader.ok() && !reader.AtEnd()) {
    record.departure.instance_hash = reader.Unsigned(TargetRun::kMaxNumber);
  }
  if (reader.ok() && !reader.AtEnd()) {
    record.departure.started_ms = reader.Signed(0, TargetRun::kMaxNumber);
  }
  if (!reader.Finished() || record.id.empty() || record.address.empty() ||
      record.data_centre.empty() || record.region.empty()) {
    outer->Fail();
  }
  return update;
}

}  // namespace

void RecordCodec::Append(const RecordsMessage& message, json* array) {
  StringTable texts;
  json records = json::array();
  for (const RecordUpdate& update : message.records) {
    records.push_back(WriteRecord(update, &texts));
  }
  array->push_back(std::move(texts.texts()));
  array->push_back(std::move(records));
  if (message.successions.empty()) {
    return;
  }
  json successions = json::array();
  for (const SuccessionUpdate& update : message.successions) {
    successions.push_back({update.succession.owner,
                           update.succession.incarnation,
                           update.succession.successor,
                           update.succession.generation, update.age_s});
  }
  array->push_back(std::move(successions));
}

RecordsMessage RecordCodec::Read(CborReader* reader) {
  RecordsMessage message;
  CborReader texts_reader(reader->Array());
  std::vector<std::string> texts;
  while (texts_reader.ok() && !texts_reader.AtEnd()) {
    texts.push_back(texts_reader.Text(kMaxTextBytes));
  }
  if (!texts_reader.ok()) {
    reader->Fail();
  }
  for (const json& value : reader->Array()) {
    message.records.push_back(ReadRecord(value, texts, reader));
    if (!reader->ok()) {
      return message;
    }
  }
  if (!reader->ok() || reader->AtEnd()) {
    return message;
  }
  for (const json& value : reader->Array()) {
    CborReader fields(value);
    SuccessionUpdate update;
    update.succession.owner = fields.Text(kMaxTextBytes);
    update.succession.incarnation = fields.Unsigned();
    update.succession.successor = fields.Text(kMaxTextBytes);
    update.succession.generation =
        static_cast<uint32_t>(fields.Unsigned(1'000'000));
    update.age_s = fields.Unsigned(uint64_t{1} << 40);
    if (!fields.Finished() || update.succession.owner.empty()) {
      reader->Fail();
      return message;
    }
    message.successions.push_back(std::move(update));
  }
  return message;
}

}  // namespace dragonflytack
