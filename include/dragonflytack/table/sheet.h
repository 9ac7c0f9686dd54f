#ifndef DRAGONFLYTACK_TABLE_SHEET_H_
#define DRAGONFLYTACK_TABLE_SHEET_H_

namespace dragonflytack {

// The sheets of the operators' table.
enum class Sheet { kServices, kRoutes, kAccounts };

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_SHEET_H_
