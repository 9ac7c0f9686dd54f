#ifndef DRAGONFLYTACK_TABLE_ACCOUNT_CHECK_H_
#define DRAGONFLYTACK_TABLE_ACCOUNT_CHECK_H_

#include <optional>
#include <string>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/table.h"
#include "table/column.h"

namespace dragonflytack {

// Returns std::nullopt if the accounts are valid, otherwise a failure. Its
// subject is "account name/column". `validate` is the check of each cell:
// &AccountColumn::validate or &AccountColumn::validate_accepted.
std::optional<Failure> CheckAccounts(
    const Table::Accounts& accounts,
    AccountColumn::Validate AccountColumn::*validate);

// Appends an encoding of the accounts for digests. Different accounts have
// different encodings; no account has an empty one.
void AppendCanonicalEncoding(const Table::Accounts& accounts,
                             std::string* encoding);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_ACCOUNT_CHECK_H_
