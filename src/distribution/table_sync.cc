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
                     bool baseline)
    : links_(links), clock_(clock), logger_(logger), baseline_(baseline) {}

TableVersion TableSync::held() const {
  return newest_ == nullptr ? 0 : newest_->version();
}

void TableSync::OnStoreObject(const StoreObject& object) {
  if (object.version == 0) {
    OnNoTable();
    return;
  }
  if ((newest_ != nullptr && object.version <= held()) ||
      object.version <= refused_) {
    return;
  }
  Failure reason;
  std::optional<TableDocument> document =
      TableDocument::Parse(object.value, &reason);
  std::shared_ptr<const Table> table;
  int64_t edit_ms = 0;
  if (document.has_value()) {
    if (!document->recent.empty()) {
      edit_ms = document->recent.back().time_ms;
    }
    table = Table::Make(object.version, std::move(document->rows),
                        std::move(document->routes), &reason);
  }
  if (table == nullptr) {
    Refuse(object.version, reason, nullptr);
    return;
  }
  Adopt(std::move(table), true, nullptr, edit_ms);
}

void TableSync::OnNoTable() {
  floor_.NameByStore(0);
  if (newest_ == nullptr && floor_.value() == 0) {
    Failure reason;
    Adopt(Table::Make(0, {}, &reason), true, nullptr);
  }
}

void TableSync::OnDelta(LinkState* link, const DeltaMessage& message) {
  const TableDelta& delta = message.delta;
  if (baseline_) {
    return;
  }
  link->version = std::max(link->version, delta.to);
  if (newest_ != nullptr && delta.to < held()) {
    // The peer learns what this node holds and is sent the difference.
    links_->Send(link, HeldVersionMessage{held()});
    Push(link);
    return;
  }
  if (newest_ != nullptr && delta.to == held()) {
    needs_holders_ = false;
    links_->Send(link, HeldVersionMessage{held()});
    Evaluate(floor_known_);
    return;
  }
  if (delta.to <= refused_) {
    return;
  }
  const Table* base = nullptr;
  if (newest_ != nullptr && held() == delta.from) {
    base = newest_.get();
  } else if (in_force_ != nullptr && in_force_->version() == delta.from) {
    base = in_force_.get();
  }
  if (base == nullptr) {
    Request(link, newest_ == nullptr);
    return;
  }
  Failure reason;
  std::shared_ptr<const Table> table = delta.ApplyTo(*base, &reason);
  if (table == nullptr) {
    Refuse(delta.to, reason, link);
    // Only the whole table can tell a damaged delta from a bad version.
    Request(link, true);
    return;
  }
  Adopt(std::move(table), false, link);
}

void TableSync::OnTable(LinkState* link, const TableMessage& message) {
  if (baseline_) {
    return;
  }
  link->version = std::max(link->version, message.version);
  if ((newest_ != nullptr && message.version <= held()) ||
      (message.version != 0 && message.version <= refused_)) {
    return;
  }
  Failure reason;
  std::shared_ptr<const Table> table =
      Table::Make(message.version, message.rows, message.routes, &reason);
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
  Adopt(std::move(table), false, link);
}

void TableSync::OnRequest(LinkState* link, const TableRequestMessage& message) {
  if (newest_ == nullptr || baseline_) {
    return;
  }
  if (message.has_table && message.have >= held()) {
    links_->Send(link, HeldVersionMessage{held()});
    return;
  }
  if (message.has_table) {
    if (const auto delta = history_.DeltaFrom(message.have)) {
      links_->Send(link, DeltaMessage{*delta});
      return;
    }
  }
  SendWhole(link);
}

void TableSync::OnPeerVersion(LinkState* link, TableVersion version) {
  link->version = std::max(link->version, version);
  if (baseline_ || newest_ == nullptr) {
    return;
  }
  if (link->version > held()) {
    if (link->version > refused_) {
      Request(link, false);
    }
  } else {
    Push(link);
  }
  Evaluate(floor_known_);
}

void TableSync::SendWhole(LinkState* link) {
  if (newest_ == nullptr || baseline_) {
    return;
  }
  links_->Send(link, TableMessage{held(), newest_->digest(), newest_->rows(),
                                  newest_->routes()});
}

void TableSync::Evaluate(bool floor_known) {
  floor_known_ = floor_known;
  if (newest_ == nullptr || newest_ == in_force_) {
    return;
  }
  if (in_force_ == nullptr && (!floor_known_ || held() < floor_.value())) {
    return;
  }
  if (needs_holders_ && !baseline_ && !EnoughHolders()) {
    return;
  }
  in_force_ = newest_;
  needs_holders_ = false;
  in_force_since_.emplace_back(held(), clock_->WallMillis());
  if (in_force_since_.size() > kConvergenceVersions) {
    in_force_since_.pop_front();
  }
  logger_->Info("table_in_force",
                {{"version", held()}, {"from", newest_from_}});
  if (on_in_force_) {
    on_in_force_();
  }
}

void TableSync::Adopt(std::shared_ptr<const Table> table,
                      bool from_store,
                      LinkState* source,
                      int64_t edit_ms) {
  newest_ = std::move(table);
  newest_from_ = source == nullptr ? "store" : source->peer;
  edit_ms_ = edit_ms;
  needs_holders_ = from_store;
  history_.Append(newest_);
  if (source != nullptr) {
    links_->Send(source, HeldVersionMessage{held()});
  }
  for (LinkState* link : links_->Up()) {
    Push(link);
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
    floor_.Refuse(version);
  }
  logger_->Error("table_refused",
                 {{"version", version},
                  {"from", source == nullptr ? "store" : source->peer},
                  {"subject", reason.subject},
                  {"reason", reason.ToString()}});
}

bool TableSync::EnoughHolders() const {
  size_t peers = 0;
  size_t holders = 0;
  bool other_up = false;
  bool other_holds = false;
  for (const auto& [id, link] : links_->links()) {
    // A joining peer has no table to which a delta could be sent. A quiet peer
    // may stand still, and waiting for it would make this node late as well.
    if (!link.up || !link.in_force || link.IsUnresponsive(clock_->Now())) {
      continue;
    }
    const bool other = link.link_class != LinkClass::kSameDataCentre;
    const bool holds = link.version >= held();
    ++peers;
    holders += holds ? 1 : 0;
    other_up |= other;
    other_holds |= other && holds;
  }
  return holders >= std::min(kHolders, peers) && (other_holds || !other_up);
}

void TableSync::Push(LinkState* link) {
  const TimePoint now = clock_->Now();
  if (baseline_ || newest_ == nullptr || !link->in_force ||
      link->version >= held() ||
      (link->last_sent_version >= held() &&
       now - link->last_sent_at < kRepeat)) {
    return;
  }
  link->last_sent_version = held();
  link->last_sent_at = now;
  size_t kind = 0;
  const std::string frame = DeltaFrame(link->version, &kind);
  links_->SendFrame(link, kind, frame);
}

std::string TableSync::DeltaFrame(TableVersion from, size_t* kind) {
  const std::pair range(from, held());
  if (frame_.empty() || frame_range_ != range) {
    // A peer whose version is not covered asks for what it lacks.
    Message message = HeldVersionMessage{held()};
    if (auto delta = history_.DeltaFrom(from)) {
      message = DeltaMessage{std::move(*delta)};
    }
    frame_range_ = range;
    frame_kind_ = message.index();
    frame_ = MessageCodec::Encode(message);
  }
  *kind = frame_kind_;
  return frame_;
}

void TableSync::Request(LinkState* link, bool whole) {
  const TimePoint now = clock_->Now();
  if ((now - link->table_requested_at < kRepeat && !whole) ||
      (link->refused != 0 && link->version <= link->refused)) {
    return;
  }
  link->table_requested_at = now;
  links_->Send(link, TableRequestMessage{!whole && newest_ != nullptr, held()});
}

}  // namespace dragonflytack
