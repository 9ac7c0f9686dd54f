#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "table/column_factory.h"

namespace dragonflytack {

namespace {

using nlohmann::json;
using Factory = ColumnFactory<AccountRow>;

// Names are sent in headers, which cannot contain control characters.
constexpr size_t kMaxNameBytes = 63;
constexpr size_t kMaxAcceptedNameBytes = 1024;

std::optional<std::string> ValidateNameUpTo(size_t maximum,
                                            const AccountColumn& column,
                                            const AccountRow& row) {
  const bool has_control_character =
      std::any_of(row.account.begin(), row.account.end(),
                  [](unsigned char c) { return c < ' ' || c == '\x7f'; });
  if (!row.account.empty() && row.account.size() <= maximum &&
      !has_control_character) {
    return std::nullopt;
  }
  return InvalidText(column, row.account);
}

std::optional<std::string> ValidateName(const AccountColumn& column,
                                        const AccountRow& row) {
  // A name like this is a key in the wrong column.
  if (row.account.starts_with(kPlainKeyPrefix)) {
    return InvalidText(column, row.account);
  }
  return ValidateNameUpTo(kMaxNameBytes, column, row);
}

std::optional<std::string> ValidateAcceptedName(const AccountColumn& column,
                                                const AccountRow& row) {
  return ValidateNameUpTo(kMaxAcceptedNameBytes, column, row);
}

// A cell lists digests. What an operator enters as "key:TEXT" is digested here,
// so that the key itself is neither stored nor printed.
bool ParseKeysText(const AccountColumn&,
                   std::string_view text,
                   AccountRow* row) {
  row->keys.clear();
  while (!text.empty()) {
    const size_t end = std::min(text.find(';'), text.size());
    const std::string_view item = text.substr(0, end);
    const std::optional<KeyDigest> key =
        item.starts_with(kPlainKeyPrefix)
            ? KeyDigest::OfKey(item.substr(kPlainKeyPrefix.size()))
            : KeyDigest::Parse(item);
    if (!key) {
      return false;
    }
    row->keys.push_back(*key);
    if (end == text.size()) {
      return true;
    }
    text.remove_prefix(end + 1);
    if (text.empty()) {
      return false;
    }
  }
  return true;
}

std::string FormatKeysText(const AccountColumn&, const AccountRow& row) {
  std::string text;
  for (const KeyDigest& key : row.keys) {
    text += (text.empty() ? "" : ";") + key.ToText();
  }
  return text;
}

bool ParseKeysJson(const AccountColumn&, const json& value, AccountRow* row) {
  if (!value.is_array()) {
    return false;
  }
  row->keys.clear();
  for (const json& item : value) {
    const std::optional<KeyDigest> key =
        item.is_string() ? KeyDigest::Parse(item.get_ref<const std::string&>())
                         : std::nullopt;
    if (!key) {
      return false;
    }
    row->keys.push_back(*key);
  }
  return true;
}

json FormatKeysJson(const AccountColumn&, const AccountRow& row) {
  json array = json::array();
  for (const KeyDigest& key : row.keys) {
    array.push_back(key.ToText());
  }
  return array;
}

// CheckAccounts() checks that no key is listed twice, since this needs all
// rows.
std::optional<std::string> AcceptKeys(const AccountColumn&, const AccountRow&) {
  return std::nullopt;
}

// The defaults must equal those of AccountRow; a test compares them.
constexpr std::array<AccountColumn, 5> kAccountColumns = {
    Factory::TextColumn("account",
                        &AccountRow::account,
                        std::nullopt,
                        "1-63 bytes without control characters, not beginning "
                        "with key:",
                        "name of the client account",
                        ValidateName,
                        ValidateAcceptedName),
    AccountColumn{.name = "keys",
                  .meaning = "digests of its API keys",
                  .range = "digests of 32 hexadecimal digits separated by ;, "
                           "or key:TEXT for a key to be digested, of 1-512 "
                           "bytes without ;",
                  .default_text = "",
                  .parse_text = ParseKeysText,
                  .format_text = FormatKeysText,
                  .parse_json = ParseKeysJson,
                  .format_json = FormatKeysJson,
                  .validate = AcceptKeys,
                  .validate_accepted = AcceptKeys},
    Factory::NumberColumn("rank",
                          &AccountRow::rank,
                          0,
                          AccountRow::kMaxRank,
                          "0",
                          "0-1000, 0 = most urgent",
                          "urgency, before that of the route"),
    Factory::NumberColumn("rate_limit",
                          &AccountRow::rate_limit,
                          0,
                          AccountRow::kMaxRate,
                          "0",
                          "0-1000000000 calls/s, 0 = unlimited",
                          "calls per second in the whole fleet"),
    Factory::NumberColumn("burst",
                          &AccountRow::burst,
                          0,
                          AccountRow::kMaxRate,
                          "0",
                          "0-1000000000 calls",
                          "calls that may exceed the rate at once"),
};

}  // namespace

template <>
std::span<const AccountColumn> Columns<AccountRow>() {
  return kAccountColumns;
}

}  // namespace dragonflytack
