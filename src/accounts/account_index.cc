#include "dragonflytack/accounts/account_index.h"

#include <cstring>
#include <utility>

#include "dragonflytack/table/table.h"

namespace dragonflytack {

AccountIndex::AccountIndex(std::shared_ptr<const Table> table)
    : table_(std::move(table)) {
  size_t keys = 0;
  for (const auto& [name, account] : table_->accounts()) {
    keys += account.keys.size();
  }
  accounts_.reserve(keys);
  for (const auto& [name, account] : table_->accounts()) {
    for (const KeyDigest& key : account.keys) {
      accounts_.emplace(key, &account);
    }
  }
}

size_t AccountIndex::account_count() const {
  return table_->accounts().size();
}

const AccountRow* AccountIndex::Find(const KeyDigest& key) const {
  const auto found = accounts_.find(key);
  return found == accounts_.end() ? nullptr : found->second;
}

size_t AccountIndex::Hash::operator()(const KeyDigest& key) const {
  size_t hash = 0;
  std::memcpy(&hash, key.bytes().data(), sizeof(hash));
  return hash;
}

}  // namespace dragonflytack
