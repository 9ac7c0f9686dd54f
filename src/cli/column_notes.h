#ifndef DRAGONFLYTACK_CLI_COLUMN_NOTES_H_
#define DRAGONFLYTACK_CLI_COLUMN_NOTES_H_

#include <string>

namespace dragonflytack {

// Returns a list of the columns with meaning, range and default, for --help.
std::string ColumnNotes();

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_COLUMN_NOTES_H_
