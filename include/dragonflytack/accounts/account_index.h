#ifndef DRAGONFLYTACK_ACCOUNTS_ACCOUNT_INDEX_H_
#define DRAGONFLYTACK_ACCOUNTS_ACCOUNT_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "dragonflytack/table/account_row.h"
#include "dragonflytack/table/key_digest.h"

namespace dragonflytack {

class Table;

// The client accounts of one version of the table, by their API keys.
class AccountIndex final {
 public:
  explicit AccountIndex(std::shared_ptr<const Table> table);

  // Returns the account that holds the key, or null if there is none. The time
  // does not depend on the number of keys. The row lives as long as the index.
  const AccountRow* Find(const KeyDigest& key) const;

  size_t account_count() const;
  size_t key_count() const { return accounts_.size(); }

 private:
  // A part of the digest, which is uniformly distributed, is the hash.
  struct Hash {
    size_t operator()(const KeyDigest& key) const;
  };

  // Keeps the rows alive that `accounts_` points to.
  const std::shared_ptr<const Table> table_;
  std::unordered_map<KeyDigest, const AccountRow*, Hash> accounts_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ACCOUNTS_ACCOUNT_INDEX_H_
