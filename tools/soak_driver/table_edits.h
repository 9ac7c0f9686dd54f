#ifndef TOOLS_SOAK_DRIVER_TABLE_EDITS_H_
#define TOOLS_SOAK_DRIVER_TABLE_EDITS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "soak_driver/call_record.h"
#include "soak_driver/soak_log.h"
#include "support/child_process.h"

namespace dragonflytack {

// Edits of the table by the command-line tool, at most one of each row at a
// time, as by one operator for each service.
class TableEdits final {
 public:
  // `tool` is the program, `store` the address of the store.
  TableEdits(std::string tool,
             std::string store,
             std::string log_path,
             SoakLog* log);

  // Adds the rows of both services, and those of client accounts if
  // `accounts`. Returns false on failure.
  bool AddRows(bool accounts);
  // Starts the edit that revokes kRevokedApiKey. It is repeated until the store
  // accepts it.
  void StartRevocation();
  // Returns when the store had accepted that edit.
  const std::optional<SoakTime>& revoked() const { return revoked_; }
  // Starts an edit of a row unless one is running.
  void Start(int row);
  // Records that the store has lost writes. An edit that is running may have
  // been made from a value that is lost, and may then end with a conflict.
  void OnStoreReturn();
  // Handles the edits that have ended.
  void Poll();
  // Waits for the running edits, then edits each row. Returns false if the
  // store does not accept one.
  bool EditAll();
  // Returns whether the table that a node has in force has the latest accepted
  // edit of each row. `table` is the response of its admin port.
  bool AreIn(const std::string& table) const;

  // Returns the values of the edited column by service; `table` is the response
  // of an admin port. Empty if it cannot be read.
  static std::map<std::string, int> ValuesOf(const std::string& table);

  int accepted() const { return accepted_; }

 private:
  struct Edit {
    ChildProcess process;
    int value;
    bool spans_return = false;
  };

  std::optional<ChildProcess> Run(std::vector<std::string> arguments) const;
  // Handles the end of the revocation; std::nullopt while it runs.
  void PollRevocation(std::optional<int> exit_code);
  void OnExit(const std::string& service, const Edit& edit, int exit_code);

  const std::string tool_;
  const std::string store_;
  const std::string log_path_;
  SoakLog* const log_;
  std::map<std::string, Edit> running_;
  std::optional<ChildProcess> revocation_;
  std::optional<SoakTime> revoked_;
  // Values of the latest accepted edits.
  std::map<std::string, int> latest_;
  int next_value_;
  int accepted_ = 0;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_TABLE_EDITS_H_
