#include "cli/tool_context.h"

#include <algorithm>
#include <ostream>
#include <random>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "dragonflytack/base/event_loop.h"
#include "store/http_store_client.h"
#include "store/table_history.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

// The timeout of a store call is this fraction of the timeout of the command,
// so that after a lost response there is time to check whether the edit was
// written.
constexpr int kStoreCallsPerTimeout = 4;

}  // namespace

ToolContext::ToolContext(EventLoop* loop,
                         ToolOptions options,
                         std::ostream* out,
                         std::ostream* err)
    : loop_(loop),
      options_(std::move(options)),
      out_(out),
      err_(err),
      logger_(&loop->clock(), LogLevel::kError, "") {}

ToolContext::~ToolContext() = default;

void ToolContext::PrintJson(const json& value) {
  *out_ << value.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
}

ExitCode ToolContext::Fail(const Failure& failure,
                           const std::vector<CellConflict>& conflicts) {
  if (options_.json) {
    json list = json::array();
    for (const CellConflict& conflict : conflicts) {
      list.push_back({{conflict.sheet == Sheet::kRoutes ? "route" : "service",
                       conflict.row},
                      {"column", conflict.column},
                      {"expected", conflict.expected},
                      {"found", conflict.found}});
    }
    const json value = {{"error",
                         {{"code", FailureCodeName(failure.code)},
                          {"subject", failure.subject},
                          {"detail", failure.detail},
                          {"conflicts", std::move(list)}}}};
    *err_ << value.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
    return ExitCodeOf(failure.code);
  }
  if (conflicts.empty()) {
    *err_ << "dragonflytack: " << failure.ToString() << "\n";
  } else {
    *err_ << "dragonflytack: conflict: nothing was written, because another "
             "edit changed:\n";
    for (const CellConflict& conflict : conflicts) {
      *err_ << "  " << conflict.ToString() << "\n";
    }
  }
  return ExitCodeOf(failure.code);
}

StoreClient* ToolContext::Store(Failure* reason) {
  if (!options_.store) {
    *reason = Failure{FailureCode::kInvalidSetting, "--store",
                      "give the store's IP:port, or set DRAGONFLYTACK_STORE"};
    return nullptr;
  }
  if (store_ == nullptr) {
    store_ = HttpStoreClient::Make(
        loop_, *options_.store,
        std::max(Milliseconds(1), options_.timeout / kStoreCallsPerTimeout),
        &logger_);
  }
  return store_.get();
}

std::optional<HostPort> ToolContext::Node(Failure* reason) const {
  if (!options_.node) {
    *reason =
        Failure{FailureCode::kInvalidSetting, "--node",
                "give any node's admin IP:port, or set DRAGONFLYTACK_NODE"};
  }
  return options_.node;
}

std::optional<ToolContext::StoredTable> ToolContext::ReadTable(
    Failure* reason) {
  StoreClient* store = Store(reason);
  if (store == nullptr) {
    return std::nullopt;
  }
  std::optional<StoreObject> object;
  store->Get("table",
             [&](std::optional<StoreObject> response, const Failure& failure) {
               object = std::move(response);
               *reason = failure;
               loop_->Stop();
             });
  loop_->Run();
  if (!object) {
    return std::nullopt;
  }
  if (object->version == 0) {
    return StoredTable{};
  }
  std::optional<TableDocument> document =
      TableDocument::Parse(object->value, reason);
  if (!document) {
    return std::nullopt;
  }
  return StoredTable{*std::move(document), object->version};
}

std::optional<std::vector<EditRecord>> ToolContext::ReadHistory(
    Failure* reason) {
  StoreClient* store = Store(reason);
  if (store == nullptr) {
    return std::nullopt;
  }
  std::optional<std::vector<EditRecord>> edits;
  TableHistory history(store);
  history.Read(0, [&](std::optional<std::vector<EditRecord>> response,
                      const Failure& failure) {
    edits = std::move(response);
    *reason = failure;
    loop_->Stop();
  });
  loop_->Run();
  return edits;
}

std::optional<EditOutcome> ToolContext::EditTable(
    TableEditor::MakeCells make_cells,
    bool replace_unreadable,
    Failure* reason) {
  StoreClient* store = Store(reason);
  if (store == nullptr) {
    return std::nullopt;
  }
  TableEditor editor(store, &loop_->timers(), std::random_device()());
  EditOutcome outcome;
  editor.Edit({.author = options_.author,
               .timeout = options_.timeout,
               .replace_unreadable = replace_unreadable,
               .accept_copy = options_.accept_copy},
              std::move(make_cells), [&](const EditOutcome& result) {
                outcome = result;
                loop_->Stop();
              });
  loop_->Run();
  return outcome;
}

void ToolContext::Sleep(Milliseconds duration) {
  loop_->timers().SubscribeOnce(duration, [this] { loop_->Stop(); });
  loop_->Run();
}

}  // namespace dragonflytack
