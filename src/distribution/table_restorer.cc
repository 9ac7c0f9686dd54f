#include "distribution/table_restorer.h"

#include <utility>

#include "distribution/throttled_store_client.h"
#include "dragonflytack/base/hash.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/store/store_era.h"
#include "dragonflytack/table/table_document.h"
#include "table/table_edit.h"

namespace dragonflytack {

namespace {

constexpr char kTableKey[] = "table";
constexpr int kEditIdBytes = 16;
constexpr Milliseconds kBudgetRetryDelay{250};

}  // namespace

TableRestorer::TableRestorer(std::string author,
                             ThrottledStoreClient* store,
                             const Clock* clock,
                             Random* random,
                             Logger* logger,
                             TableFunction held_table,
                             IsNewestFunction is_newest,
                             ObjectCallback on_object)
    : author_(std::move(author)),
      store_(store),
      clock_(clock),
      random_(random),
      logger_(logger),
      held_table_(std::move(held_table)),
      is_newest_(std::move(is_newest)),
      on_object_(std::move(on_object)) {}

bool TableRestorer::IsFromCopy(StoreVersion version) const {
  return store_->CanWriteTable() && EraOf(version) < store_->era().value_or(0);
}

void TableRestorer::Tick(bool active, Milliseconds delay) {
  const uint64_t era = store_->era().value_or(0);
  const std::shared_ptr<const Table> held = held_table_();
  if (!active || held == nullptr || !IsFromCopy(held->version()) ||
      confirmed_era_ >= era) {
    due_.reset();
    return;
  }
  const TimePoint now = clock_->Now();
  if (!due_ || pending_era_ != era) {
    pending_era_ = era;
    due_ =
        now + kSettleTime + delay +
        Milliseconds(random_->Below(static_cast<uint64_t>(kMaxJitter.count())));
    return;
  }
  if (!calling_ && now >= *due_ && is_newest_()) {
    Read();
  }
}

void TableRestorer::Read() {
  calling_ = store_->Get(
      kTableKey, [this](std::optional<StoreObject> object, const Failure&) {
        calling_ = false;
        if (object) {
          OnRead(*object);
        } else {
          Retry(backoff_.Next(random_));
        }
      });
  if (!calling_) {
    Retry(kBudgetRetryDelay);
  }
}

void TableRestorer::OnRead(const StoreObject& found) {
  const uint64_t era = store_->era().value_or(0);
  if (era != pending_era_) {
    // The store has returned once more. The next tick waits again.
    return;
  }
  if (!IsFromCopy(found.version)) {
    confirmed_era_ = era;
    on_object_(found);
    return;
  }
  if (found.version > held_table_()->version()) {
    on_object_(found);
  }
  const std::shared_ptr<const Table> held = held_table_();
  if (!IsFromCopy(held->version()) || !is_newest_()) {
    return;
  }
  // A copy that lacks nothing is written unchanged, for a number of this era.
  std::string value = found.version != 0 && found.version >= held->version()
                          ? found.value
                          : MakeDocument(*held, found);
  const StoreVersion found_version = found.version;
  const StoreVersion held_version = held->version();
  calling_ = store_->Put(
      kTableKey, value, found_version,
      [this, era, value, found_version, held_version](
          std::optional<StoreVersion> version, const Failure& reason) {
        calling_ = false;
        logger_->Info("table_written_back",
                      {{"held", held_version},
                       {"found", found_version},
                       {"version", version.value_or(0)},
                       {"result", version ? "written" : reason.ToString()}});
        if (!version) {
          Retry(backoff_.Next(random_));
          return;
        }
        backoff_.Reset();
        confirmed_era_ = era;
        on_object_(StoreObject{kTableKey, value, *version});
      });
  if (!calling_) {
    Retry(kBudgetRetryDelay);
  }
}

std::string TableRestorer::MakeDocument(const Table& held,
                                        const StoreObject& found) const {
  TableDocument document;
  Failure reason;
  if (std::optional<TableDocument> copy =
          TableDocument::Parse(found.value, &reason)) {
    EditRecord edit{RandomHex(kEditIdBytes), author_, clock_->WallMillis(),
                    DiffRows(copy->rows, held.rows())};
    const CellEdits routes = DiffRows(copy->routes, held.routes());
    edit.cells.insert(edit.cells.end(), routes.begin(), routes.end());
    const CellEdits accounts = DiffRows(copy->accounts, held.accounts());
    edit.cells.insert(edit.cells.end(), accounts.begin(), accounts.end());
    document.recent = std::move(copy->recent);
    if (!edit.cells.empty()) {
      document.recent.push_back(std::move(edit));
    }
  }
  document.rows = held.rows();
  document.routes = held.routes();
  document.accounts = held.accounts();
  std::string json = document.ToJson();
  if (json.size() > TableDocument::kMaxBytes) {
    // The table takes precedence over the record of its edits.
    document.recent.clear();
    json = document.ToJson();
  }
  return json;
}

void TableRestorer::Retry(Milliseconds delay) {
  if (due_) {
    due_ = clock_->Now() + delay;
  }
}

}  // namespace dragonflytack
