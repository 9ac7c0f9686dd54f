#include "distribution/message_codec.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/cbor_bounds.h"
#include "distribution/cbor_reader.h"
#include "distribution/record_codec.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

constexpr int kMaxCellValue = 1'000'000'000;
constexpr size_t kMaxBusyAlternatives = 64;
constexpr size_t kMaxAccountNameBytes = 1024;

// Returns a byte string of little-endian 64-bit numbers.
json EncodeNumbers(const uint64_t* numbers, size_t count) {
  std::vector<uint8_t> bytes;
  bytes.reserve(count * 8);
  for (size_t i = 0; i < count; ++i) {
    for (int shift = 0; shift < 64; shift += 8) {
      bytes.push_back(static_cast<uint8_t>(numbers[i] >> shift));
    }
  }
  return json::binary(std::move(bytes));
}

json WriteRow(const ServiceRow& row) {
  json weights = json::array();
  for (const auto& [region, weight] : row.weights) {
    weights.push_back(region);
    weights.push_back(weight);
  }
  return {row.service,     static_cast<unsigned>(row.kind),
          weights,         row.max_concurrency,
          row.max_queue,   row.max_connections,
          row.slots,       row.rate_limit,
          row.deadline_ms, row.retry_limit};
}

// Checks types only; Table::MakeAccepted() validates the values.
ServiceRow ReadRow(const json& value, CborReader* outer) {
  CborReader reader(value);
  const auto read_cell = [&] {
    return static_cast<int>(reader.Signed(-kMaxCellValue, kMaxCellValue));
  };
  ServiceRow row;
  row.service = reader.Text(RecordCodec::kMaxTextBytes);
  row.kind = static_cast<ServiceKind>(
      reader.Unsigned(static_cast<uint64_t>(ServiceKind::kOneTime)));
  CborReader weights(reader.Array());
  while (weights.ok() && !weights.AtEnd()) {
    std::string region = weights.Text(RecordCodec::kMaxTextBytes);
    row.weights[std::move(region)] =
        static_cast<int>(weights.Signed(-kMaxCellValue, kMaxCellValue));
  }
  row.max_concurrency = read_cell();
  row.max_queue = read_cell();
  row.max_connections = read_cell();
  row.slots = read_cell();
  row.rate_limit = read_cell();
  row.deadline_ms = read_cell();
  row.retry_limit = read_cell();
  if (!reader.Finished() || !weights.ok()) {
    outer->Fail();
  }
  return row;
}

json WriteRoute(const RouteRow& route) {
  json shares = json::array();
  for (const RouteShare& share : route.shares) {
    shares.push_back(share.service);
    shares.push_back(share.weight);
  }
  json value = {route.name,       route.host,
                route.prefix,     static_cast<unsigned>(route.kind),
                route.timeout_ms, route.latency_objective_ms,
                route.rank,       route.attempts,
                std::move(shares)};
  // Omitted for other routes, so that earlier nodes can read them.
  if (route.is_public) {
    value.push_back(true);
  }
  return value;
}

json WriteAccount(const AccountRow& account) {
  std::vector<uint8_t> keys;
  keys.reserve(account.keys.size() * KeyDigest::kBytes);
  for (const KeyDigest& key : account.keys) {
    keys.insert(keys.end(), key.bytes().begin(), key.bytes().end());
  }
  return {account.account, account.rank, account.rate_limit, account.burst,
          json::binary(std::move(keys))};
}

// Checks types only, as ReadRow() does.
AccountRow ReadAccount(const json& value, CborReader* outer) {
  CborReader reader(value);
  const auto read_cell = [&] {
    return static_cast<int>(reader.Signed(-kMaxCellValue, kMaxCellValue));
  };
  AccountRow account;
  account.account = reader.Text(kMaxAccountNameBytes);
  account.rank = read_cell();
  account.rate_limit = read_cell();
  account.burst = read_cell();
  const std::vector<uint8_t> keys = reader.Bytes(MessageCodec::kMaxFrameBytes);
  if (!reader.Finished() || keys.size() % KeyDigest::kBytes != 0) {
    outer->Fail();
    return account;
  }
  for (auto at = keys.begin(); at != keys.end(); at += KeyDigest::kBytes) {
    KeyDigest::Bytes bytes;
    std::copy_n(at, KeyDigest::kBytes, bytes.begin());
    account.keys.push_back(KeyDigest::FromBytes(bytes));
  }
  return account;
}

json WriteAccounts(const std::vector<AccountRow>& accounts) {
  json values = json::array();
  for (const AccountRow& account : accounts) {
    values.push_back(WriteAccount(account));
  }
  return values;
}

// Checks types only, as ReadRow() does.
RouteRow ReadRoute(const json& value, CborReader* outer) {
  CborReader reader(value);
  const auto read_cell = [&] {
    return static_cast<int>(reader.Signed(-kMaxCellValue, kMaxCellValue));
  };
  RouteRow route;
  route.name = reader.Text(RouteRow::kMaxTextBytes);
  route.host = reader.Text(RouteRow::kMaxTextBytes);
  route.prefix = reader.Text(RouteRow::kMaxTextBytes);
  route.kind = static_cast<ServiceKind>(
      reader.Unsigned(static_cast<uint64_t>(ServiceKind::kOneTime)));
  route.timeout_ms = read_cell();
  route.latency_objective_ms = read_cell();
  route.rank = read_cell();
  route.attempts = read_cell();
  CborReader shares(reader.Array());
  while (shares.ok() && !shares.AtEnd()) {
    RouteShare share;
    share.service = shares.Text(RecordCodec::kMaxTextBytes);
    share.weight =
        static_cast<int>(shares.Signed(-kMaxCellValue, kMaxCellValue));
    route.shares.push_back(std::move(share));
  }
  if (reader.ok() && !reader.AtEnd()) {
    route.is_public = reader.Boolean();
  }
  if (!reader.Finished() || !shares.ok()) {
    outer->Fail();
  }
  return route;
}

void Append(const HelloMessage& message, json* array) {
  array->insert(
      array->end(),
      {message.in_force, message.version, message.held, message.known_version,
       message.refused, message.known_incarnation, message.known_sequence});
  if (message.known_departure) {
    array->push_back(message.known_departure->instance_hash);
    array->push_back(message.known_departure->started_ms);
  }
}
void Append(const HeartbeatMessage& message, json* array) {
  const uint64_t digest[] = {message.digest.sum, message.digest.exclusive_or};
  array->push_back(message.in_force);
  array->push_back(message.version);
  array->push_back(EncodeNumbers(digest, 2));
  if (message.store_watch != StoreWatchState::kDefault) {
    array->push_back(static_cast<uint8_t>(message.store_watch));
  }
}
void Append(const RecordsMessage& message, json* array) {
  RecordCodec::Append(message, array);
}
void Append(const SuspicionsMessage& message, json* array) {
  for (const Suspicion& suspicion : message.suspicions) {
    array->push_back({suspicion.id, suspicion.incarnation, suspicion.sequence});
  }
}
void Append(const DeltaMessage& message, json* array) {
  const TableDelta& delta = message.delta;
  json changed = json::array();
  for (const ServiceRow& row : delta.changed) {
    changed.push_back(WriteRow(row));
  }
  json changed_routes = json::array();
  for (const RouteRow& route : delta.changed_routes) {
    changed_routes.push_back(WriteRoute(route));
  }
  array->insert(array->end(),
                {delta.from, delta.to, delta.digest, std::move(changed),
                 json(delta.removed), std::move(changed_routes),
                 json(delta.removed_routes)});
  // Omitted without accounts, so that earlier nodes can read the message.
  if (!delta.changed_accounts.empty() || !delta.removed_accounts.empty()) {
    array->push_back(WriteAccounts(delta.changed_accounts));
    array->push_back(json(delta.removed_accounts));
  }
}
void Append(const HeldVersionMessage& message, json* array) {
  array->push_back(message.version);
}
void Append(const TableRequestMessage& message, json* array) {
  array->push_back(message.has_table);
  array->push_back(message.base_version);
}
void Append(const TableMessage& message, json* array) {
  json rows = json::array();
  for (const auto& [service, row] : message.rows) {
    rows.push_back(WriteRow(row));
  }
  json routes = json::array();
  for (const auto& [name, route] : message.routes) {
    routes.push_back(WriteRoute(route));
  }
  array->insert(array->end(), {message.version, message.digest, std::move(rows),
                               std::move(routes)});
  if (!message.accounts.empty()) {
    json accounts = json::array();
    for (const auto& [name, account] : message.accounts) {
      accounts.push_back(WriteAccount(account));
    }
    array->push_back(std::move(accounts));
  }
}
void Append(const SnapshotRequestMessage&, json*) {}
void Append(const SnapshotEndMessage&, json*) {}
void Append(const SnapshotReceivedMessage&, json*) {}
void Append(const SnapshotBusyMessage& message, json* array) {
  json alternatives = json::array();
  for (const HostPort& peer : message.alternatives) {
    alternatives.push_back({peer.address, peer.port});
  }
  array->push_back(message.retry_ms);
  array->push_back(std::move(alternatives));
}
void Append(const BucketsMessage& message, json* array) {
  array->push_back(
      EncodeNumbers(message.buckets.data(), message.buckets.size()));
}
void Append(const BucketHashesMessage& message, json* array) {
  for (const auto& [bucket, hashes] : message.buckets) {
    array->push_back({bucket, EncodeNumbers(hashes.data(), hashes.size())});
  }
}
void Append(const EntryRequestMessage& message, json* array) {
  array->push_back(EncodeNumbers(message.hashes.data(), message.hashes.size()));
}

Message ReadHello(CborReader* reader) {
  HelloMessage message;
  message.in_force = reader->Boolean();
  message.version = reader->Unsigned();
  message.held = reader->Unsigned();
  message.known_version = reader->Unsigned();
  message.refused = reader->Unsigned();
  message.known_incarnation = reader->Unsigned(uint64_t{1} << 52);
  message.known_sequence = reader->Unsigned(uint64_t{1} << 52);
  if (reader->ok() && !reader->AtEnd()) {
    TargetRun run;
    run.instance_hash = reader->Unsigned(TargetRun::kMaxNumber);
    run.started_ms = reader->Signed(0, TargetRun::kMaxNumber);
    message.known_departure = run;
  }
  return message;
}
Message ReadHeartbeat(CborReader* reader) {
  HeartbeatMessage message;
  message.in_force = reader->Boolean();
  message.version = reader->Unsigned();
  const std::vector<uint64_t> digest = reader->Numbers(2);
  if (digest.size() == 2) {
    message.digest = {digest[0], digest[1]};
  } else {
    reader->Fail();
  }
  if (reader->ok() && !reader->AtEnd()) {
    message.store_watch = static_cast<StoreWatchState>(
        reader->Unsigned(static_cast<uint64_t>(StoreWatchState::kFailing)));
  }
  return message;
}
Message ReadRecords(CborReader* reader) {
  return RecordCodec::Read(reader);
}
Message ReadSuspicions(CborReader* reader) {
  SuspicionsMessage message;
  while (reader->ok() && !reader->AtEnd()) {
    CborReader fields(reader->Array());
    Suspicion suspicion;
    suspicion.id = fields.Text(RecordCodec::kMaxTextBytes);
    suspicion.incarnation = fields.Unsigned();
    suspicion.sequence = fields.Unsigned();
    if (!fields.Finished()) {
      reader->Fail();
    }
    message.suspicions.push_back(std::move(suspicion));
  }
  return message;
}
Message ReadDelta(CborReader* reader) {
  DeltaMessage message;
  TableDelta& delta = message.delta;
  delta.from = reader->Unsigned();
  delta.to = reader->Unsigned();
  delta.digest = reader->Unsigned();
  for (const json& row : reader->Array()) {
    delta.changed.push_back(ReadRow(row, reader));
  }
  CborReader removed(reader->Array());
  while (removed.ok() && !removed.AtEnd()) {
    delta.removed.insert(removed.Text(RecordCodec::kMaxTextBytes));
  }
  for (const json& route : reader->Array()) {
    delta.changed_routes.push_back(ReadRoute(route, reader));
  }
  CborReader removed_routes(reader->Array());
  while (removed_routes.ok() && !removed_routes.AtEnd()) {
    delta.removed_routes.insert(removed_routes.Text(RouteRow::kMaxTextBytes));
  }
  if (reader->ok() && !reader->AtEnd()) {
    for (const json& account : reader->Array()) {
      delta.changed_accounts.push_back(ReadAccount(account, reader));
    }
    CborReader removed_accounts(reader->Array());
    while (removed_accounts.ok() && !removed_accounts.AtEnd()) {
      delta.removed_accounts.insert(
          removed_accounts.Text(kMaxAccountNameBytes));
    }
    if (!removed_accounts.ok()) {
      reader->Fail();
    }
  }
  if (!removed.ok() || !removed_routes.ok() || delta.to <= delta.from) {
    reader->Fail();
  }
  return message;
}
Message ReadHeldVersion(CborReader* reader) {
  return HeldVersionMessage{reader->Unsigned()};
}
Message ReadTableRequest(CborReader* reader) {
  TableRequestMessage message;
  message.has_table = reader->Boolean();
  message.base_version = reader->Unsigned();
  return message;
}
Message ReadTable(CborReader* reader) {
  TableMessage message;
  message.version = reader->Unsigned();
  message.digest = reader->Unsigned();
  for (const json& value : reader->Array()) {
    ServiceRow row = ReadRow(value, reader);
    std::string service = row.service;
    if (!message.rows.emplace(std::move(service), std::move(row)).second) {
      reader->Fail();
    }
  }
  for (const json& value : reader->Array()) {
    RouteRow route = ReadRoute(value, reader);
    std::string name = route.name;
    if (!message.routes.emplace(std::move(name), std::move(route)).second) {
      reader->Fail();
    }
  }
  if (reader->ok() && !reader->AtEnd()) {
    for (const json& value : reader->Array()) {
      AccountRow account = ReadAccount(value, reader);
      std::string name = account.account;
      if (!message.accounts.emplace(std::move(name), std::move(account))
               .second) {
        reader->Fail();
      }
    }
  }
  return message;
}
Message ReadSnapshotBusy(CborReader* reader) {
  SnapshotBusyMessage message;
  message.retry_ms = static_cast<uint32_t>(reader->Unsigned(60'000));
  const json& alternatives = reader->Array();
  if (alternatives.size() > kMaxBusyAlternatives) {
    reader->Fail();
    return message;
  }
  for (const json& value : alternatives) {
    CborReader fields(value);
    HostPort peer;
    peer.address = fields.Text(RecordCodec::kMaxTextBytes);
    peer.port = static_cast<uint16_t>(fields.Unsigned(UINT16_MAX));
    if (!fields.Finished()) {
      reader->Fail();
    }
    message.alternatives.push_back(std::move(peer));
  }
  return message;
}
Message ReadBuckets(CborReader* reader) {
  BucketsMessage message;
  const std::vector<uint64_t> digests =
      reader->Numbers(BucketDigests::kBuckets);
  if (digests.size() != BucketDigests::kBuckets) {
    reader->Fail();
    return message;
  }
  std::copy(digests.begin(), digests.end(), message.buckets.begin());
  return message;
}
Message ReadBucketHashes(CborReader* reader) {
  BucketHashesMessage message;
  while (reader->ok() && !reader->AtEnd()) {
    CborReader fields(reader->Array());
    const auto bucket =
        static_cast<uint8_t>(fields.Unsigned(BucketDigests::kBuckets - 1));
    std::vector<uint64_t> hashes =
        fields.Numbers(MessageCodec::kMaxFrameBytes / 8);
    if (!fields.Finished()) {
      reader->Fail();
    }
    message.buckets.emplace_back(bucket, std::move(hashes));
  }
  return message;
}
Message ReadEntryRequest(CborReader* reader) {
  return EntryRequestMessage{reader->Numbers(MessageCodec::kMaxFrameBytes / 8)};
}
template <typename Empty>
Message ReadEmpty(CborReader*) {
  return Empty{};
}

// Indexed by message kind, in the order of the alternatives of Message.
using ReadFunction = Message (*)(CborReader*);
constexpr std::array<ReadFunction, std::variant_size_v<Message>> kReaders = {
    ReadHello,
    ReadHeartbeat,
    ReadRecords,
    ReadSuspicions,
    ReadDelta,
    ReadHeldVersion,
    ReadTableRequest,
    ReadTable,
    ReadEmpty<SnapshotRequestMessage>,
    ReadEmpty<SnapshotEndMessage>,
    ReadEmpty<SnapshotReceivedMessage>,
    ReadSnapshotBusy,
    ReadBuckets,
    ReadBucketHashes,
    ReadEntryRequest,
};

}  // namespace

std::string MessageCodec::Encode(const Message& message) {
  json array = json::array({message.index()});
  std::visit([&array](const auto& value) { Append(value, &array); }, message);
  std::string frame;
  json::to_cbor(array, frame);
  return frame;
}

std::optional<Message> MessageCodec::Decode(std::string_view frame,
                                            Failure* reason) {
  if (frame.size() > kMaxFrameBytes) {
    *reason = {FailureCode::kTooLarge, "frame",
               "longer than the frame size limit"};
    return std::nullopt;
  }
  const json array = IsBoundedCbor(frame, kMaxDepth)
                         ? json::from_cbor(frame, true, false)
                         : json(json::value_t::discarded);
  if (!array.is_array()) {
    *reason = {FailureCode::kInvalidMessage, "frame",
               "not exactly one CBOR array within the nesting limit"};
    return std::nullopt;
  }
  CborReader reader(array);
  const uint64_t kind = reader.Unsigned(kReaders.size() - 1);
  if (!reader.ok()) {
    *reason = {FailureCode::kInvalidMessage, "frame", "unknown kind"};
    return std::nullopt;
  }
  Message message = kReaders[kind](&reader);
  if (!reader.Finished()) {
    *reason = {FailureCode::kInvalidMessage, "kind " + std::to_string(kind),
               "a field is missing, superfluous or out of range"};
    return std::nullopt;
  }
  return message;
}

}  // namespace dragonflytack
