#ifndef DRAGONFLYTACK_CLI_TOOL_CONTEXT_H_
#define DRAGONFLYTACK_CLI_TOOL_CONTEXT_H_

#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cli/exit_code.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/store/store_client.h"
#include "dragonflytack/table/table_document.h"
#include "store/table_editor.h"

namespace dragonflytack {

class EventLoop;

// The options that all verbs share.
struct ToolOptions final {
  std::optional<HostPort> store;
  std::optional<HostPort> node;
  std::string shared_key;
  std::string author;
  bool json = false;
  Milliseconds timeout{10'000};
  // See TableEditor::Options.
  bool accept_copy = false;
};

// The environment of a verb: its options, its output, and access to the store
// and the nodes. Requests run the event loop until they are complete.
class ToolContext final {
 public:
  // The pointers must outlive the context. `loop` may also serve other sockets,
  // such as a test's replacement of the store.
  ToolContext(EventLoop* loop,
              ToolOptions options,
              std::ostream* out,
              std::ostream* err);
  ~ToolContext();
  ToolContext(const ToolContext&) = delete;
  ToolContext& operator=(const ToolContext&) = delete;

  const ToolOptions& options() const { return options_; }
  std::ostream& out() { return *out_; }
  std::ostream& err() { return *err_; }
  EventLoop* loop() { return loop_; }

  // Writes one JSON value and a newline.
  void PrintJson(const nlohmann::json& value);

  // Reports a failure and returns its exit code.
  ExitCode Fail(const Failure& failure,
                const std::vector<CellConflict>& conflicts = {});

  // Return null or std::nullopt, with kInvalidSetting, if no address is
  // configured.
  StoreClient* Store(Failure* reason);
  std::optional<HostPort> Node(Failure* reason) const;

  struct StoredTable {
    TableDocument document;
    TableVersion version = 0;
  };
  std::optional<StoredTable> ReadTable(Failure* reason);
  std::optional<std::vector<EditRecord>> ReadHistory(Failure* reason);
  std::optional<EditOutcome> EditTable(TableEditor::MakeCells make_cells,
                                       bool replace_unreadable,
                                       Failure* reason);

  // Runs the loop for `duration`.
  void Sleep(Milliseconds duration);

 private:
  EventLoop* const loop_;
  const ToolOptions options_;
  std::ostream* const out_;
  std::ostream* const err_;
  Logger logger_;
  std::unique_ptr<StoreClient> store_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_TOOL_CONTEXT_H_
