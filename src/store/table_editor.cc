#include "store/table_editor.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "dragonflytack/base/hash.h"
#include "dragonflytack/store/store_client.h"
#include "table/column.h"

namespace dragonflytack {

namespace {

constexpr char kTableKey[] = "table";
constexpr int kEditIdBytes = 16;
// Edits that are archived at a time when there are too many.
constexpr size_t kArchivedEdits = 256;
// Waits double from the first to the longest; half of each is random, so that
// operators who met in a conflict do not meet again.
constexpr int kFirstWaitMs = 20;
constexpr int kLongestWaitMs = 1000;
constexpr int kMaxDoublings = 6;

// True for failures of the store that may pass.
bool MayPass(FailureCode code) {
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
auto TableEditor::Guard(Function function) {
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
  store_->Get(kTableKey, Guard([this](std::optional<StoreObject> object,
                                      const Failure& reason) {
                if (object) {
                  OnTable(*object);
                } else {
                  Retry(reason);
                }
              }));
}

void TableEditor::OnTable(const StoreObject& object) {
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
  if (HoldsEdit(document_.recent)) {
    outcome_.version = version_;
    Finish(Failure{});
    return;
  }
  if (lost_on_ && version_ != *lost_on_) {
    SearchHistory();
    return;
  }
  Apply();
}

bool TableEditor::HoldsEdit(const std::vector<EditRecord>& edits) const {
  return std::any_of(edits.begin(), edits.end(),
                     [this](const EditRecord& edit) {
                       return edit.edit_id == outcome_.edit.edit_id;
                     });
}

void TableEditor::SearchHistory() {
  history_ = std::make_unique<TableHistory>(store_);
  history_->Read(first_version_,
                 [this](std::optional<std::vector<EditRecord>> edits,
                        const Failure& reason) {
                   if (!edits) {
                     Retry(reason);
                   } else if (HoldsEdit(*edits)) {
                     outcome_.version = version_;
                     Finish(Failure{});
                   } else {
                     // The lost write can no longer land: its condition names a
                     // version that has passed.
                     lost_on_.reset();
                     Apply();
                   }
                 });
}

void TableEditor::Apply() {
  applied_on_ = version_;
  next_ = document_;
  archive_.edits.clear();
  outcome_.conflicts = ApplyEdit(outcome_.edit.cells, &next_);
  if (!outcome_.conflicts.empty()) {
    const CellConflict& first = outcome_.conflicts.front();
    Finish(Failure{FailureCode::kConflict,
                   CellName(first.sheet, first.row, first.column),
                   fmt::format("expected \"{}\", found \"{}\"", first.expected,
                               first.found)});
    return;
  }
  Failure reason;
  if (Table::Make(version_, next_.rows, next_.routes, &reason) == nullptr) {
    Finish(reason);
    return;
  }
  next_.recent.push_back(outcome_.edit);
  // A few edits of many cells can fill the table's bytes long before their
  // number is reached; then all older ones are archived.
  const bool fits =
      Trim(next_.recent.size() > TableDocument::kMaxRecentEdits ? kArchivedEdits
                                                                : 0) ||
      Trim(document_.recent.size() - archive_.edits.size());
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

bool TableEditor::Trim(size_t count) {
  const auto kept = next_.recent.begin() + static_cast<std::ptrdiff_t>(count);
  archive_.edits.insert(archive_.edits.end(), next_.recent.begin(), kept);
  next_.recent.erase(next_.recent.begin(), kept);
  next_json_ = next_.ToJson();
  return next_json_.size() <= TableDocument::kMaxBytes;
}

void TableEditor::WriteArchive() {
  store_->Put(
      HistoryArchive::Key(version_), archive_.ToJson(), archive_version_,
      Guard([this](std::optional<StoreVersion> version, const Failure& reason) {
        if (version) {
          WriteTable();
        } else if (reason.code == FailureCode::kConflict) {
          OnArchiveConflict();
        } else {
          // The next attempt finds the archive if this one was written.
          Retry(reason);
        }
      }));
}

void TableEditor::OnArchiveConflict() {
  store_->Get(
      HistoryArchive::Key(version_),
      Guard([this](std::optional<StoreObject> object, const Failure& reason) {
        if (!object) {
          Retry(reason);
          return;
        }
        HistoryArchive merged;
        if (object->version != 0) {
          Failure fault;
          std::optional<HistoryArchive> found =
              HistoryArchive::Parse(object->value, &fault);
          if (!found) {
            Finish(fault);
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
  store_->Put(
      kTableKey, next_json_, version_,
      Guard([this](std::optional<StoreVersion> version, const Failure& reason) {
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
    lost_on_ = version_;
  }
  Retry(reason);
}

void TableEditor::Retry(const Failure& reason) {
  const int base = std::min(kFirstWaitMs << std::min(attempts_, kMaxDoublings),
                            kLongestWaitMs);
  ++attempts_;
  const uint64_t jitter = random_.Below(static_cast<uint64_t>(base) / 2 + 1);
  const Milliseconds wait(base / 2 + static_cast<int>(jitter));
  if (!MayPass(reason.code) || timers_->clock().Now() + wait >= deadline_) {
    Finish(reason);
    return;
  }
  timer_ = timers_->SubscribeOnce(wait, [this] { ReadTable(); });
}

void TableEditor::Finish(Failure failure) {
  outcome_.merged = failure.code == FailureCode::kNone &&
                    !outcome_.edit.cells.empty() &&
                    applied_on_ != first_version_;
  outcome_.unsettled =
      lost_on_.has_value() && failure.code != FailureCode::kNone;
  outcome_.failure = std::move(failure);
  const Callback callback = std::move(callback_);
  const EditOutcome outcome = std::move(outcome_);
  callback(outcome);
}

}  // namespace dragonflytack
