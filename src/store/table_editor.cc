#include "store/table_editor.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "dragonflytack/base/hash.h"
#include "dragonflytack/store/store_client.h"
#include "dragonflytack/store/store_era.h"
#include "table/column.h"

namespace dragonflytack {

namespace {

constexpr char kTableKey[] = "table";
constexpr int kEditIdBytes = 16;
// Number of edits that are archived together once the table has too many.
constexpr size_t kArchiveBatchEdits = 256;
// The backoff doubles from the minimum to the maximum. Half of each wait is
// random, so that operators whose edits conflicted do not retry at the same
// time.
constexpr int kMinBackoffMs = 20;
constexpr int kMaxBackoffMs = 1000;
constexpr int kMaxBackoffDoublings = 6;

// Returns true for failures after which a retry can succeed.
bool IsTransient(FailureCode code) {
  return code == FailureCode::kConflict ||
         code == FailureCode::kStoreUnreachable ||
         code == FailureCode::kStoreTimeout ||
         code == FailureCode::kStoreRejected;
}

}  // namespace

TableEditor::TableEditor(StoreClient* store,
                         TimerService* timers,
                         uint64_t seed)
    : store_(store), timers_(timers), random_(seed) {}

TableEditor::~TableEditor() {
  timers_->Cancel(timer_);
}

template <typename Function>
auto TableEditor::BindWeak(Function function) {
  return [alive = std::weak_ptr<int>(alive_), function = std::move(function)](
             auto value, const Failure& reason) {
    if (!alive.expired()) {
      function(std::move(value), reason);
    }
  };
}

void TableEditor::Edit(Options options,
                       MakeCells make_cells,
                       Callback callback) {
  options_ = std::move(options);
  make_cells_ = std::move(make_cells);
  callback_ = std::move(callback);
  deadline_ = timers_->clock().Now() + options_.timeout;
  outcome_.edit.edit_id = RandomHex(kEditIdBytes);
  outcome_.edit.author = options_.author;
  outcome_.edit.time_ms = timers_->clock().WallMillis();
  ReadTable();
}

void TableEditor::ReadTable() {
  store_->Get(kTableKey, BindWeak([this](std::optional<StoreObject> object,
                                         const Failure& reason) {
                if (object) {
                  OnTable(*object);
                } else {
                  Retry(reason);
                }
              }));
}

void TableEditor::OnTable(const StoreObject& object) {
  read_era_ = store_->era().value_or(0);
  if (EraOf(object.version) < read_era_ && !options_.accept_copy) {
    Retry(Failure{FailureCode::kStoreRejected, "table",
                  "the store has returned from an older copy, and no node has "
                  "written the table back yet; --accept-copy edits the copy"});
    return;
  }
  version_ = object.version;
  document_ = TableDocument{};
  if (object.version != 0) {
    Failure reason;
    std::optional<TableDocument> document =
        TableDocument::Parse(object.value, &reason);
    if (!document && !options_.replace_unreadable) {
      Finish(reason);
      return;
    }
    document_ = std::move(document).value_or(TableDocument{});
  }
  if (!cells_made_) {
    first_version_ = version_;
    Failure reason;
    std::optional<CellEdits> cells = make_cells_(document_, &reason);
    if (!cells) {
      Finish(reason);
      return;
    }
    outcome_.edit.cells = *std::move(cells);
    cells_made_ = true;
    if (outcome_.edit.cells.empty()) {
      outcome_.version = version_;
      Finish(Failure{});
      return;
    }
  }
  if (ContainsEdit(document_.recent)) {
    outcome_.version = version_;
    Finish(Failure{});
    return;
  }
  if (lost_write_condition_ && version_ != *lost_write_condition_) {
    SearchHistory();
    return;
  }
  Apply();
}

bool TableEditor::ContainsEdit(const std::vector<EditRecord>& edits) const {
  return std::any_of(edits.begin(), edits.end(),
                     [this](const EditRecord& edit) {
                       return edit.edit_id == outcome_.edit.edit_id;
                     });
}

bool TableEditor::HasAllCells(
    const std::vector<CellConflict>& conflicts) const {
  const CellEdits& cells = outcome_.edit.cells;
  return conflicts.size() == cells.size() &&
         std::equal(conflicts.begin(), conflicts.end(), cells.begin(),
                    [](const CellConflict& conflict, const CellEdit& cell) {
                      return conflict.sheet == cell.sheet &&
                             conflict.row == cell.row &&
                             conflict.column == cell.column &&
                             conflict.found == cell.new_text;
                    });
}

void TableEditor::SearchHistory() {
  history_ = std::make_unique<TableHistory>(store_);
  history_->Read(
      first_version_, [this](std::optional<std::vector<EditRecord>> edits,
                             const Failure& reason) {
        if (!edits) {
          Retry(reason);
        } else if (ContainsEdit(*edits)) {
          outcome_.version = version_;
          Finish(Failure{});
        } else {
          // The lost write can no longer take effect: the version in its
          // condition has been replaced.
          record_may_be_lost_ = EraOf(version_) > EraOf(*lost_write_condition_);
          lost_write_condition_.reset();
          Apply();
        }
      });
}

void TableEditor::Apply() {
  base_version_ = version_;
  new_document_ = document_;
  archive_.edits.clear();
  outcome_.conflicts = ApplyEdit(outcome_.edit.cells, &new_document_);
  if (record_may_be_lost_ && HasAllCells(outcome_.conflicts)) {
    outcome_.conflicts.clear();
    outcome_.version = version_;
    Finish(Failure{});
    return;
  }
  if (!outcome_.conflicts.empty()) {
    const CellConflict& first = outcome_.conflicts.front();
    Finish(Failure{FailureCode::kConflict,
                   CellName(first.sheet, first.row, first.column),
                   fmt::format("expected \"{}\", found \"{}\"", first.expected,
                               first.found)});
    return;
  }
  Failure reason;
  if (Table::Make(version_, new_document_.rows, new_document_.routes,
                  new_document_.accounts, &reason) == nullptr) {
    Finish(reason);
    return;
  }
  if (const std::optional<Failure> excess = new_document_.FindExcessRows()) {
    Finish(*excess);
    return;
  }
  new_document_.recent.push_back(outcome_.edit);
  // A few edits of many cells can reach the size limit of the table long before
  // the limit on the number of edits. In that case all edits but the new one
  // are archived.
  const bool fits =
      ArchiveOldestEdits(new_document_.recent.size() >
                                 TableDocument::kMaxRecentEdits
                             ? kArchiveBatchEdits
                             : 0) ||
      ArchiveOldestEdits(document_.recent.size() - archive_.edits.size());
  if (!fits) {
    Finish(Failure{FailureCode::kTooLarge, "table",
                   fmt::format("the table with this edit has more than {} "
                               "bytes",
                               TableDocument::kMaxBytes)});
    return;
  }
  archive_version_ = 0;
  if (!archive_.edits.empty()) {
    WriteArchive();
  } else {
    WriteTable();
  }
}

bool TableEditor::ArchiveOldestEdits(size_t count) {
  const auto first_kept =
      new_document_.recent.begin() + static_cast<std::ptrdiff_t>(count);
  archive_.edits.insert(archive_.edits.end(), new_document_.recent.begin(),
                        first_kept);
  new_document_.recent.erase(new_document_.recent.begin(), first_kept);
  new_json_ = new_document_.ToJson();
  return new_json_.size() <= TableDocument::kMaxBytes;
}

void TableEditor::WriteArchive() {
  store_->Put(HistoryArchive::Key(version_), archive_.ToJson(),
              archive_version_,
              BindWeak([this](std::optional<StoreVersion> version,
                              const Failure& reason) {
                if (version) {
                  WriteTable();
                } else if (reason.code == FailureCode::kConflict) {
                  OnArchiveConflict();
                } else {
                  // If this write took effect, the retry finds the archive.
                  Retry(reason);
                }
              }));
}

void TableEditor::OnArchiveConflict() {
  store_->Get(HistoryArchive::Key(version_),
              BindWeak([this](std::optional<StoreObject> object,
                              const Failure& reason) {
                if (!object) {
                  Retry(reason);
                  return;
                }
                HistoryArchive merged;
                if (object->version != 0) {
                  Failure parse_failure;
                  std::optional<HistoryArchive> found =
                      HistoryArchive::Parse(object->value, &parse_failure);
                  if (!found) {
                    Finish(parse_failure);
                    return;
                  }
                  merged = *std::move(found);
                }
                archive_version_ = object->version;
                if (!merged.Add(archive_.edits)) {
                  WriteTable();
                  return;
                }
                archive_ = std::move(merged);
                WriteArchive();
              }));
}

void TableEditor::WriteTable() {
  if (store_->era().value_or(0) != read_era_) {
    // The store has returned from a copy since the table was read.
    Retry(Failure{FailureCode::kConflict, "table",
                  "the store has returned from an older copy"});
    return;
  }
  store_->Put(kTableKey, new_json_, version_,
              BindWeak([this](std::optional<StoreVersion> version,
                              const Failure& reason) {
                OnTableWritten(version, reason);
              }));
}

void TableEditor::OnTableWritten(const std::optional<StoreVersion>& version,
                                 const Failure& reason) {
  if (version) {
    outcome_.version = *version;
    Finish(Failure{});
    return;
  }
  if (reason.code == FailureCode::kStoreTimeout) {
    lost_write_condition_ = version_;
  }
  Retry(reason);
}

void TableEditor::Retry(const Failure& reason) {
  const int base = std::min(
      kMinBackoffMs << std::min(retries_, kMaxBackoffDoublings), kMaxBackoffMs);
  ++retries_;
  const uint64_t jitter = random_.Below(static_cast<uint64_t>(base) / 2 + 1);
  const Milliseconds wait(base / 2 + static_cast<int>(jitter));
  if (!IsTransient(reason.code) || timers_->clock().Now() + wait >= deadline_) {
    Finish(reason);
    return;
  }
  timer_ = timers_->SubscribeOnce(wait, [this] { ReadTable(); });
}

void TableEditor::Finish(Failure failure) {
  outcome_.merged = failure.code == FailureCode::kNone &&
                    !outcome_.edit.cells.empty() &&
                    base_version_ != first_version_;
  outcome_.may_be_applied =
      lost_write_condition_.has_value() && failure.code != FailureCode::kNone;
  outcome_.failure = std::move(failure);
  const Callback callback = std::move(callback_);
  const EditOutcome outcome = std::move(outcome_);
  callback(outcome);
}

}  // namespace dragonflytack
