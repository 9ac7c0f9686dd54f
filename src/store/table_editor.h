#ifndef DRAGONFLYTACK_STORE_TABLE_EDITOR_H_
#define DRAGONFLYTACK_STORE_TABLE_EDITOR_H_

#include <cstdint>
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

// Result of an edit.
struct EditOutcome final {
  // kNone if the edit is in the table. kConflict if another operator changed
  // one of the cells, kInvalidTable if the resulting table would be invalid,
  // kTooLarge if it would exceed the size limit; in these cases the table was
  // not written. After the timeout, the last failure of the store;
  // `may_be_applied` then shows whether the edit may still have been applied.
  Failure failure;
  std::vector<CellConflict> conflicts;
  bool may_be_applied = false;
  // A version of the table that contains the edit.
  TableVersion version = 0;
  // The edit. It has no cells if nothing had to change and nothing was written.
  EditRecord edit;
  // True if another edit was written between the first read and the write of
  // this one, and the table contains both.
  bool merged = false;
};

// Applies one edit to the table with conditional writes. If the response to a
// write is lost, the editor reads the table again and searches it for the
// edit's id. If the condition fails, it applies the cells to the newer table.
// Failures of the store are retried with jittered exponential backoff until the
// timeout.
class TableEditor final {
 public:
  struct Options {
    std::string author;
    Milliseconds timeout{10'000};
    // Replaces a table that cannot be parsed. The edits stored in it are lost.
    bool replace_unreadable = false;
    // Edits a table from a copy to which the store has returned. By default the
    // editor waits until a node has written the table back, because the copy
    // may lack accepted edits.
    bool accept_copy = false;
  };
  // Computes the cells of the edit from the first version of the table that was
  // read. Returns std::nullopt and sets the failure to end the edit.
  using MakeCells =
      std::function<std::optional<CellEdits>(const TableDocument&, Failure*)>;
  // Called at most once, never from within Edit(). It may destroy the editor.
  using Callback = std::function<void(const EditOutcome&)>;

  // `store` and `timers` must outlive the editor. After its destruction the
  // callback is not called, but a write in progress may still take effect.
  TableEditor(StoreClient* store, TimerService* timers, uint64_t seed);
  ~TableEditor();
  TableEditor(const TableEditor&) = delete;
  TableEditor& operator=(const TableEditor&) = delete;

  // Must be called only once.
  void Edit(Options options, MakeCells make_cells, Callback callback);

 private:
  void ReadTable();
  void OnTable(const StoreObject& object);
  // Searches the archives for the edit: if the response to its write was lost,
  // a later edit may have moved it there.
  void SearchHistory();
  void Apply();
  // Moves the `count` oldest edits of `new_document_` to `archive_`. Returns
  // true if the remaining document fits into one object.
  bool ArchiveOldestEdits(size_t count);
  // Creates or extends the archive that belongs to `version_`, then writes the
  // table.
  void WriteArchive();
  void OnArchiveConflict();
  void WriteTable();
  void OnTableWritten(const std::optional<StoreVersion>& version,
                      const Failure& reason);
  // Reads the table again after a jittered backoff. Finishes with `reason` if
  // the failure is permanent or the deadline would pass first.
  void Retry(const Failure& reason);
  void Finish(Failure failure);
  // Whether the conflicts are all cells of the edit and each cell has the text
  // of the edit already.
  bool HasAllCells(const std::vector<CellConflict>& conflicts) const;
  bool ContainsEdit(const std::vector<EditRecord>& edits) const;
  // Returns a callback that calls `function` only while the editor exists.
  template <typename Function>
  auto BindWeak(Function function);

  StoreClient* const store_;
  TimerService* const timers_;
  Random random_;
  // BindWeak() holds a weak pointer to it.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  TimerId timer_ = 0;
  Options options_;
  MakeCells make_cells_;
  Callback callback_;
  TimePoint deadline_;
  int retries_ = 0;
  bool cells_made_ = false;
  // The version that the last table write with a lost response was conditional
  // on. That write takes effect on this version or never.
  std::optional<TableVersion> lost_write_condition_;
  // Whether the store has returned from a copy since a write with a lost
  // response, so that the edit may be in the table without its record.
  bool record_may_be_lost_ = false;
  // Era of the store when the table was last read.
  uint64_t read_era_ = 0;
  // Versions of the table: as first read, as last read, and that the edit was
  // last applied to.
  TableVersion first_version_ = 0;
  TableVersion version_ = 0;
  TableVersion base_version_ = 0;
  TableDocument document_;
  // The document to write, its JSON, and the oldest edits, which are archived
  // instead.
  TableDocument new_document_;
  std::string new_json_;
  HistoryArchive archive_;
  StoreVersion archive_version_ = 0;
  std::unique_ptr<TableHistory> history_;
  EditOutcome outcome_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_TABLE_EDITOR_H_
