#ifndef DRAGONFLYTACK_STORE_TABLE_EDITOR_H_
#define DRAGONFLYTACK_STORE_TABLE_EDITOR_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/store/store_object.h"
#include "dragonflytack/table/edit_record.h"
#include "dragonflytack/table/table_document.h"
#include "store/table_history.h"
#include "table/table_edit.h"

namespace dragonflytack {

class StoreClient;

// How an edit ended.
struct EditOutcome final {
  // kNone when the edit is in the table. kConflict when cells were changed by
  // somebody else, kInvalidTable when the table would be invalid, kTooLarge
  // when it would not fit; then nothing was written. A failure of the store
  // when its time ran out; `unsettled` then says whether the edit may still
  // have landed.
  Failure failure;
  std::vector<CellConflict> conflicts;
  bool unsettled = false;
  // A version of the table that holds the edit.
  TableVersion version = 0;
  // The edit, with no cells when there was nothing to change and nothing was
  // written.
  EditRecord edit;
  // Another edit landed in between and both are in the table.
  bool merged = false;
};

// Puts one edit into the table by conditional writes. A lost answer is resolved
// by reading the table again and looking for the edit's id; a conflict by
// applying the cells to the newer table. Failures of the store are tried again,
// with jittered waits, until the time is over.
class TableEditor final {
 public:
  struct Options {
    std::string author;
    Milliseconds timeout{10'000};
    // Replaces a table that cannot be read at all. Its edits are lost.
    bool replace_unreadable = false;
  };
  // Makes the cells of the edit from the table as first read.
  using MakeCells =
      std::function<std::optional<CellEdits>(const TableDocument&, Failure*)>;
  using Callback = std::function<void(const EditOutcome&)>;

  // The pointers must outlive the editor. Destroying it drops the answer; a
  // write under way may still land.
  TableEditor(StoreClient* store, TimerService* timers, uint64_t seed);
  ~TableEditor();
  TableEditor(const TableEditor&) = delete;
  TableEditor& operator=(const TableEditor&) = delete;

  // Called once.
  void Edit(Options options, MakeCells make_cells, Callback callback);

 private:
  void ReadTable();
  void OnTable(const StoreObject& object);
  // Looks for the edit in the archives, because it may have been moved there
  // while the answer was lost.
  void SearchHistory();
  void Apply();
  // Moves the oldest edits of `next_` to `archive_` and returns whether the
  // rest fits into the object.
  bool Trim(size_t count);
  // Creates or extends the archive of the oldest edits, then writes the table.
  void WriteArchive();
  void OnArchiveConflict();
  void WriteTable();
  void OnTableWritten(const std::optional<StoreVersion>& version,
                      const Failure& reason);
  // Reads the table again after a jittered wait, or ends with `reason` when the
  // time is over or trying again cannot help.
  void Retry(const Failure& reason);
  void Finish(Failure failure);
  bool HoldsEdit(const std::vector<EditRecord>& edits) const;
  // Wraps a callback so that it does nothing once the editor is gone.
  template <typename Function>
  auto Guard(Function function);

  StoreClient* const store_;
  TimerService* const timers_;
  Random random_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  TimerId timer_ = 0;
  Options options_;
  MakeCells make_cells_;
  Callback callback_;
  TimePoint deadline_;
  int attempts_ = 0;
  bool cells_made_ = false;
  // Version of the last table write whose answer was lost; such a write lands
  // on that version or never.
  std::optional<TableVersion> lost_on_;
  TableVersion first_version_ = 0;
  TableVersion version_ = 0;
  TableVersion applied_on_ = 0;
  TableDocument document_;
  // The document to write, and the oldest edits that it leaves out.
  TableDocument next_;
  std::string next_json_;
  HistoryArchive archive_;
  StoreVersion archive_version_ = 0;
  std::unique_ptr<TableHistory> history_;
  EditOutcome outcome_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_TABLE_EDITOR_H_
