#include "store/table_history.h"

#include <utility>

#include "dragonflytack/store/store_client.h"
#include "dragonflytack/table/table_document.h"

namespace dragonflytack {

namespace {

// Objects per list request. An archive may have up to 1 MB.
constexpr int kPageObjects = 16;

}  // namespace

TableHistory::TableHistory(StoreClient* store) : store_(store) {}

void TableHistory::Read(TableVersion after, Callback callback) {
  after_ = after;
  callback_ = std::move(callback);
  // The table is read before the archives, so that an edit that is archived in
  // between is found twice instead of being missed.
  store_->Get("table",
              [this, alive = std::weak_ptr<int>(alive_)](
                  std::optional<StoreObject> object, const Failure& reason) {
                if (!alive.expired()) {
                  OnTable(object, reason);
                }
              });
}

void TableHistory::OnTable(const std::optional<StoreObject>& object,
                           const Failure& reason) {
  if (!object) {
    Finish(std::nullopt, reason);
    return;
  }
  if (object->version != 0) {
    Failure parse_failure;
    std::optional<TableDocument> document =
        TableDocument::Parse(object->value, &parse_failure);
    if (!document) {
      Finish(std::nullopt, parse_failure);
      return;
    }
    recent_ = std::move(document->recent);
  }
  ReadPage(HistoryArchive::Key(after_));
}

void TableHistory::Finish(std::optional<std::vector<EditRecord>> edits,
                          const Failure& reason) {
  // The callback may destroy this object.
  const Callback callback = std::move(callback_);
  callback(std::move(edits), reason);
}

void TableHistory::ReadPage(const std::string& start_after) {
  store_->List(
      HistoryArchive::kPrefix, start_after, kPageObjects,
      [this, alive = std::weak_ptr<int>(alive_)](
          std::optional<std::vector<StoreObject>> page, const Failure& reason) {
        if (!alive.expired()) {
          OnPage(page, reason);
        }
      });
}

void TableHistory::OnPage(const std::optional<std::vector<StoreObject>>& page,
                          const Failure& reason) {
  if (!page) {
    Finish(std::nullopt, reason);
    return;
  }
  for (const StoreObject& object : *page) {
    Failure parse_failure;
    const std::optional<HistoryArchive> archive =
        HistoryArchive::Parse(object.value, &parse_failure);
    if (!archive) {
      parse_failure.subject = object.key;
      Finish(std::nullopt, parse_failure);
      return;
    }
    merged_.Add(archive->edits);
  }
  if (page->size() == static_cast<size_t>(kPageObjects)) {
    ReadPage(page->back().key);
    return;
  }
  merged_.Add(recent_);
  Finish(std::move(merged_.edits), Failure{});
}

}  // namespace dragonflytack
