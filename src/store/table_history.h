#ifndef DRAGONFLYTACK_STORE_TABLE_HISTORY_H_
#define DRAGONFLYTACK_STORE_TABLE_HISTORY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/store/store_object.h"
#include "dragonflytack/table/edit_record.h"
#include "dragonflytack/table/table_version.h"
#include "store/history_archive.h"

namespace dragonflytack {

class StoreClient;

// Reads the edits, oldest first, from the archives and the table.
class TableHistory final {
 public:
  // Called at most once, never from within Read(). It may destroy the object.
  using Callback = std::function<void(std::optional<std::vector<EditRecord>>,
                                      const Failure& reason)>;

  // `store` must outlive the object. Destroying the object drops the callback.
  explicit TableHistory(StoreClient* store);
  TableHistory(const TableHistory&) = delete;
  TableHistory& operator=(const TableHistory&) = delete;

  // Reads the archives of table versions above `after`, and the recent edits in
  // the table. Must be called only once.
  void Read(TableVersion after, Callback callback);

 private:
  void OnTable(const std::optional<StoreObject>& object, const Failure& reason);
  void ReadPage(const std::string& start_after);
  void OnPage(const std::optional<std::vector<StoreObject>>& page,
              const Failure& reason);
  void Finish(std::optional<std::vector<EditRecord>> edits,
              const Failure& reason);

  StoreClient* const store_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  TableVersion after_ = 0;
  Callback callback_;
  std::vector<EditRecord> recent_;
  HistoryArchive merged_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_TABLE_HISTORY_H_
