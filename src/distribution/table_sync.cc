#include "distribution/table_sync.h"

#include <algorithm>
#include <optional>
#include <set>

#include "distribution/link_table.h"
#include "distribution/message_codec.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/table/table_document.h"

namespace dragonflytack {

TableSync::TableSync(LinkTable* links,
                     const Clock* clock,
                     Logger* logger,
                     bool store_only)
    : links_(links), clock_(clock), logger_(logger), store_only_(store_only) {}

TableVersion TableSync::held_version() const {
  return held_table_ == nullptr ? 0 : held_table_->version();
}

void TableSync::OnStoreObject(const StoreObject& object) {
  if (object.version == 0) {
    OnTableMissing();
    return;
  }
  RecordKnownVersion(object.version);
  if ((held_table_ != nullptr && object.version < held_version()) ||
      object.version <= refused_) {
    return;
  }
  Failure reason;
  std::shared_ptr<const TableDocument> document = object.document;
  if (object.defect) {
    reason = *object.defect;
  } else if (document == nullptr) {
    if (std::optional<TableDocument> parsed =
            TableDocument::Parse(object.value, &reason)) {
      document = std::make_shared<const TableDocument>(*std::move(parsed));
    }
  }
  std::shared_ptr<const Table> table;
  int64_t edit_time_ms = 0;
  if (document != nullptr) {
    if (!document->recent.empty()) {
      edit_time_ms = document->recent.back().time_ms;
    }
    // The editor writes valid tables only, so an invalid document of our own
    // is damaged. What another system's store accepts is not ours to refuse.
    table = object.document == nullptr
                ? Table::Make(object.version, document->rows, document->routes,
                              document->accounts, &reason)
                : Table::MakeAccepted(object.version, document->rows,
                                      document->routes, document->accounts,
                                      &reason);
  }
  if (held_table_ != nullptr && object.version == held_version()) {
    RecordDigest(table == nullptr ? 0 : table->digest(), nullptr);
    return;
  }
  if (table == nullptr) {
    Refuse(object.version, reason, nullptr);
    return;
  }
  SetHeldTable(std::move(table), true, nullptr, edit_time_ms);
}

void TableSync::OnTableMissing() {
  floor_.RecordStoreVersion(0);
  if (held_table_ == nullptr && floor_.value() == 0) {
    Failure reason;
    SetHeldTable(Table::Make(0, {}, &reason), true, nullptr);
  }
}

void TableSync::OnDelta(LinkState* link, const DeltaMessage& message) {
  const TableDelta& delta = message.delta;
  RecordKnownVersion(delta.to);
  if (store_only_) {
    return;
  }
  link->version = std::max(link->version, delta.to);
  if (held_table_ != nullptr && delta.to < held_version()) {
    // The peer is behind: report the held version and push the delta to it.
    links_->Send(link, HeldVersionMessage{held_version()});
    Push(link);
    return;
  }
  if (held_table_ != nullptr && delta.to == held_version()) {
    RecordDigest(delta.digest, link);
    needs_holders_ = false;
    links_->Send(link, HeldVersionMessage{held_version()});
    Evaluate(floor_known_);
    return;
  }
  if (delta.to <= refused_) {
    return;
  }
  const Table* base = nullptr;
  if (held_table_ != nullptr && held_version() == delta.from) {
    base = held_table_.get();
  } else if (in_force_ != nullptr && in_force_->version() == delta.from) {
    base = in_force_.get();
  }
  if (base == nullptr) {
    RequestTable(link, held_table_ == nullptr);
    return;
  }
  Failure reason;
  std::shared_ptr<const Table> table = delta.ApplyTo(*base, &reason);
  if (table == nullptr) {
    Refuse(delta.to, reason, link);
    // Only the whole table can distinguish a corrupted delta from an invalid
    // version.
    RequestTable(link, true);
    return;
  }
  SetHeldTable(std::move(table), false, link);
}

void TableSync::OnTable(LinkState* link, const TableMessage& message) {
  RecordKnownVersion(message.version);
  if (store_only_) {
    return;
  }
  link->version = std::max(link->version, message.version);
  if (held_table_ != nullptr && message.version == held_version()) {
    RecordDigest(message.digest, link);
    return;
  }
  if ((held_table_ != nullptr && message.version < held_version()) ||
      (message.version != 0 && message.version <= refused_)) {
    return;
  }
  Failure reason;
  std::shared_ptr<const Table> table = Table::MakeAccepted(
      message.version, message.rows, message.routes, message.accounts, &reason);
  if (table != nullptr && table->digest() != message.digest) {
    table = nullptr;
    reason = Failure{FailureCode::kInvalidMessage,
                     "version " + std::to_string(message.version),
                     "the digest does not match the rows"};
  }
  if (table == nullptr) {
    link->refused = message.version;
    Refuse(message.version, reason, link);
    return;
  }
  SetHeldTable(std::move(table), false, link);
}

void TableSync::OnRequest(LinkState* link, const TableRequestMessage& message) {
  if (held_table_ == nullptr || store_only_) {
    return;
  }
  if (message.has_table && message.base_version >= held_version()) {
    links_->Send(link, HeldVersionMessage{held_version()});
    return;
  }
  if (IsHeldVersionLarge() && link->in_force && message.has_table &&
      message.base_version == link->version) {
    // Served at once or as soon as another push is acknowledged.
    Push(link);
    return;
  }
  if (message.has_table) {
    if (const auto delta = history_.DeltaFrom(message.base_version)) {
      links_->Send(link, DeltaMessage{*delta});
      return;
    }
  }
  SendTable(link);
}

void TableSync::OnPeerVersion(LinkState* link, TableVersion version) {
  RecordKnownVersion(version);
  link->version = std::max(link->version, version);
  if (store_only_ || held_table_ == nullptr) {
    return;
  }
  if (link->version > held_version()) {
    if (link->version > refused_) {
      RequestTable(link, false);
    }
  } else {
    Push(link);
  }
  Evaluate(floor_known_);
}

void TableSync::SendTable(LinkState* link) {
  if (held_table_ == nullptr || store_only_) {
    return;
  }
  links_->Send(link, TableMessage{held_version(), held_table_->digest(),
                                  held_table_->rows(), held_table_->routes(),
                                  held_table_->accounts()});
}

void TableSync::Evaluate(bool floor_known) {
  floor_known_ = floor_known;
  PushLarge();
  const bool awaits_newer_version =
      in_force_ == nullptr && AwaitsNewerVersion();
  if (held_table_ == nullptr || held_table_ == in_force_) {
    return;
  }
  if (in_force_ == nullptr && (!floor_known_ || awaits_newer_version ||
                               held_version() < floor_.value())) {
    return;
  }
  if (needs_holders_ && !store_only_ && !HasEnoughHolders()) {
    return;
  }
  in_force_ = held_table_;
  needs_holders_ = false;
  in_force_since_.emplace_back(held_version(), clock_->WallMillis());
  if (in_force_since_.size() > kInForceHistorySize) {
    in_force_since_.pop_front();
  }
  logger_->Info("table_in_force",
                {{"version", held_version()}, {"from", held_table_source_}});
  if (on_in_force_) {
    on_in_force_();
  }
}

void TableSync::SetHeldTable(std::shared_ptr<const Table> table,
                             bool from_store,
                             LinkState* source,
                             int64_t edit_time_ms) {
  held_table_ = std::move(table);
  held_table_source_ = source == nullptr ? "store" : source->peer;
  edit_time_ms_ = edit_time_ms;
  needs_holders_ = from_store;
  history_.Append(held_table_);
  if (source != nullptr) {
    links_->Send(source, HeldVersionMessage{held_version()});
  }
  for (LinkState* link : UpByDistance()) {
    if (link->in_force) {
      Push(link);
    }
    // A joining peer has no base for a delta, but must not put an older version
    // in force. Other peers that wait for a large one need not push it here.
    if (!store_only_ && link != source && link->version < held_version() &&
        (!link->in_force || (IsHeldVersionLarge() && !IsPushInFlight(*link)))) {
      links_->Send(link, HeldVersionMessage{held_version()});
    }
  }
  Evaluate(floor_known_);
}

void TableSync::Refuse(TableVersion version,
                       const Failure& reason,
                       LinkState* source) {
  last_refused_ = version;
  refusal_ = reason;
  ++refusals_;
  if (source == nullptr) {
    refused_ = std::max(refused_, version);
    floor_.RecordRefusedVersion(version);
  }
  logger_->Error("table_refused",
                 {{"version", version},
                  {"from", source == nullptr ? "store" : source->peer},
                  {"subject", reason.subject},
                  {"reason", reason.ToString()}});
}

void TableSync::RecordDigest(uint64_t digest, const LinkState* source) {
  if (digest == held_table_->digest() ||
      (ambiguous_version_ == held_version() && differing_digest_ == digest)) {
    return;
  }
  ambiguous_version_ = held_version();
  differing_digest_ = digest;
  ++differing_contents_;
  logger_->Error("table_content_differs",
                 {{"version", held_version()},
                  {"from", source == nullptr ? "store" : source->peer},
                  {"held_from", held_table_source_},
                  {"digest", digest},
                  {"held_digest", held_table_->digest()}});
}

bool TableSync::HasEnoughHolders() const {
  size_t peers = 0;
  size_t holders = 0;
  bool remote_up = false;
  bool remote_holds = false;
  for (const auto& [id, link] : links_->links()) {
    // A joining peer has no table to which a delta could be applied. A peer
    // that has missed a heartbeat may be frozen, and waiting for it would delay
    // this node as well.
    if (!link.up || !link.in_force || link.IsUnresponsive(clock_->Now())) {
      continue;
    }
    const bool is_remote = link.link_class != LinkClass::kSameDataCentre;
    const bool holds = link.version >= held_version();
    ++peers;
    holders += holds ? 1 : 0;
    remote_up |= is_remote;
    remote_holds |= is_remote && holds;
  }
  return holders >= std::min(kMinHolders, peers) &&
         (remote_holds || !remote_up);
}

bool TableSync::AwaitsNewerVersion() {
  if (store_only_) {
    return false;
  }
  bool awaits = false;
  for (LinkState* link : links_->Up()) {
    // Without a table, this node reads what the store names from the store, and
    // takes a snapshot from a peer that has a table in force.
    const bool is_newer = held_table_ != nullptr
                              ? link->version > held_version()
                              : !link->in_force && floor_.has_store_version() &&
                                    link->version > floor_.store_version();
    if (!is_newer || link->version <= refused_ ||
        link->version <= link->refused) {
      link->newer_since.reset();
      continue;
    }
    if (!link->newer_since) {
      link->newer_since = clock_->Now();
    }
    if (clock_->Now() - *link->newer_since < kNewerVersionTimeout) {
      awaits = true;
      RequestTable(link, false);
    }
  }
  return awaits;
}

void TableSync::Push(LinkState* link) {
  const TimePoint now = clock_->Now();
  if (store_only_ || held_table_ == nullptr || !link->in_force ||
      link->version >= held_version() || IsPushInFlight(*link) ||
      (IsHeldVersionLarge() && PushesInFlight() >= kMaxLargePushes)) {
    return;
  }
  link->last_sent_version = held_version();
  link->last_sent_at = now;
  size_t kind = 0;
  const std::string frame = DeltaFrame(link->version, &kind);
  links_->SendFrame(link, kind, frame);
}

void TableSync::PushLarge() {
  if (!IsHeldVersionLarge()) {
    return;
  }
  std::vector<LinkState*> links = UpByDistance();
  // A peer that does not acknowledge must not keep its turn.
  std::stable_partition(links.begin(), links.end(), [this](LinkState* link) {
    return link->last_sent_version < held_version();
  });
  for (LinkState* link : links) {
    Push(link);
  }
}

std::vector<LinkState*> TableSync::UpByDistance() {
  std::vector<LinkState*> links = links_->Up();
  std::stable_sort(links.begin(), links.end(),
                   [](const LinkState* a, const LinkState* b) {
                     return a->link_class < b->link_class;
                   });
  return links;
}

bool TableSync::IsHeldVersionLarge() const {
  return held_table_ != nullptr && last_frame_range_.second == held_version() &&
         last_frame_.size() > kLargeFrameBytes;
}

bool TableSync::IsPushInFlight(const LinkState& link) const {
  return link.last_sent_version >= held_version() &&
         link.version < held_version() &&
         clock_->Now() - link.last_sent_at <
             (IsHeldVersionLarge() ? kLargePushTimeout : kResendInterval);
}

size_t TableSync::PushesInFlight() const {
  const std::vector<LinkState*> links = links_->Up();
  return static_cast<size_t>(std::count_if(
      links.begin(), links.end(),
      [this](const LinkState* link) { return IsPushInFlight(*link); }));
}

std::string TableSync::DeltaFrame(TableVersion from, size_t* kind) {
  const std::pair range(from, held_version());
  if (last_frame_.empty() || last_frame_range_ != range) {
    // If the history does not cover the peer's version, the held version is
    // sent instead, and the peer requests the table.
    Message message = HeldVersionMessage{held_version()};
    if (auto delta = history_.DeltaFrom(from)) {
      message = DeltaMessage{std::move(*delta)};
    }
    last_frame_range_ = range;
    last_frame_kind_ = message.index();
    last_frame_ = MessageCodec::Encode(message);
  }
  *kind = last_frame_kind_;
  return last_frame_;
}

void TableSync::RequestTable(LinkState* link, bool whole) {
  const TimePoint now = clock_->Now();
  if ((now - link->table_requested_at < kResendInterval && !whole) ||
      (link->refused != 0 && link->version <= link->refused)) {
    return;
  }
  link->table_requested_at = now;
  links_->Send(link, TableRequestMessage{!whole && held_table_ != nullptr,
                                         held_version()});
}

}  // namespace dragonflytack
