#ifndef DRAGONFLYTACK_STORE_STORE_OBJECT_H_
#define DRAGONFLYTACK_STORE_STORE_OBJECT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "dragonflytack/base/failure.h"

namespace dragonflytack {

struct TableDocument;

// The number that identifies a write of an object. It increases with every
// write and deletion of that object. The store assigns it; on a platform, the
// operator assigns that of the table.
using StoreVersion = uint64_t;

// An object as read from the store. Version 0 with an empty value means that it
// does not exist.
struct StoreObject final {
  std::string key;
  std::string value;
  StoreVersion version = 0;
  // The table, if the store keeps it in another form than the JSON of
  // TableDocument. `value` is empty then.
  std::shared_ptr<const TableDocument> document;
  // Why the store's form of the object cannot be read, if it cannot. `value`
  // and `document` are empty then, and the whole version is refused.
  std::optional<Failure> defect;

  friend bool operator==(const StoreObject&, const StoreObject&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_STORE_OBJECT_H_
