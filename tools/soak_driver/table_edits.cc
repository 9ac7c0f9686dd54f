#include "soak_driver/table_edits.h"

#include <sys/wait.h>

#include <array>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dragonflytack {

namespace {

constexpr std::array<const char*, 2> kServices = {"roster", "booking"};
constexpr std::array<const char*, 2> kKinds = {"kind=idempotent",
                                               "kind=one_time"};
constexpr char kColumn[] = "max_queue";
// Larger than the default of the column, so that an edit always changes it.
constexpr int kFirstValue = 1000;
constexpr char kTimeoutSeconds[] = "5";
constexpr int kWaitMs = 12'000;
// Exit codes of the tool, see docs/interfaces.md.
constexpr int kDone = 0;
constexpr int kConflict = 3;
constexpr int kStoreUnreachable = 4;

}  // namespace

TableEdits::TableEdits(std::string tool,
                       std::string store,
                       std::string log_path,
                       SoakLog* log)
    : tool_(std::move(tool)),
      store_(std::move(store)),
      log_path_(std::move(log_path)),
      log_(log),
      next_value_(kFirstValue) {}

std::optional<ChildProcess> TableEdits::Run(
    std::vector<std::string> arguments) const {
  arguments.insert(arguments.begin(), tool_);
  arguments.insert(arguments.end(), {"--store", store_, "--author", "soak",
                                     "--timeout", kTimeoutSeconds});
  return ChildProcess::Start(arguments, log_path_);
}

bool TableEdits::AddRows(bool accounts) {
  for (size_t i = 0; i < kServices.size(); ++i) {
    std::optional<ChildProcess> process = Run({"add", kServices[i], kKinds[i]});
    if (!process || process->WaitExit(kWaitMs) != kDone) {
      return false;
    }
  }
  const std::pair<const char*, const char*> rows[] = {{"stays", kValidApiKey},
                                                      {"ends", kRevokedApiKey}};
  for (const auto& [account, key] : rows) {
    std::optional<ChildProcess> process =
        accounts ? Run({"add", account, "--accounts",
                        fmt::format("keys=key:{}", key)})
                 : std::nullopt;
    if (accounts && (!process || process->WaitExit(kWaitMs) != kDone)) {
      return false;
    }
  }
  return true;
}

void TableEdits::StartRevocation() {
  revocation_ = Run({"set", "ends", "keys", "", "--accounts"});
}

void TableEdits::PollRevocation(std::optional<int> exit_code) {
  if (!exit_code) {
    return;
  }
  log_->Write(fmt::format("revocation exit code {}", *exit_code));
  revocation_.reset();
  if (*exit_code == kDone) {
    revoked_ = std::chrono::steady_clock::now();
  } else {
    StartRevocation();
  }
}

void TableEdits::Start(int row) {
  const std::string service = kServices[row % kServices.size()];
  if (running_.contains(service)) {
    return;
  }
  const int value = next_value_++;
  std::optional<ChildProcess> process =
      Run({"set", service, kColumn, std::to_string(value)});
  if (process) {
    running_.emplace(service, Edit{std::move(*process), value});
  }
}

void TableEdits::Poll() {
  if (revocation_) {
    const std::optional<int> status = revocation_->PollWaitStatus();
    PollRevocation(
        status ? std::optional(WIFEXITED(*status) ? WEXITSTATUS(*status) : -1)
               : std::nullopt);
  }
  for (auto edit = running_.begin(); edit != running_.end();) {
    const std::optional<int> status = edit->second.process.PollWaitStatus();
    if (!status) {
      ++edit;
      continue;
    }
    OnExit(edit->first, edit->second,
           WIFEXITED(*status) ? WEXITSTATUS(*status) : -1);
    edit = running_.erase(edit);
  }
}

void TableEdits::OnStoreReturn() {
  for (auto& [service, edit] : running_) {
    edit.spans_return = true;
  }
}

void TableEdits::OnExit(const std::string& service,
                        const Edit& edit,
                        int exit_code) {
  const int value = edit.value;
  log_->Write(fmt::format("edit {} {} {} exit code {}", service, kColumn, value,
                          exit_code));
  if (exit_code == kDone) {
    latest_[service] = value;
    ++accepted_;
  } else if (exit_code != kStoreUnreachable &&
             !(exit_code == kConflict && edit.spans_return)) {
    // Edits of different cells do not conflict.
    log_->ReportFailure(
        {.text = fmt::format("edit {} {} ended with exit code {}", service,
                             value, exit_code)});
  }
}

bool TableEdits::EditAll() {
  if (revocation_) {
    PollRevocation(revocation_->WaitExit(kWaitMs).value_or(-1));
  }
  if (revocation_) {
    // The store accepts edits again.
    PollRevocation(revocation_->WaitExit(kWaitMs).value_or(-1));
  }
  for (auto& [service, edit] : running_) {
    OnExit(service, edit, edit.process.WaitExit(kWaitMs).value_or(-1));
  }
  running_.clear();
  for (size_t row = 0; row < kServices.size(); ++row) {
    Start(static_cast<int>(row));
    Edit& edit = running_.at(kServices[row]);
    const int exit_code = edit.process.WaitExit(kWaitMs).value_or(-1);
    OnExit(kServices[row], edit, exit_code);
    running_.clear();
    if (exit_code != kDone) {
      return false;
    }
  }
  return true;
}

std::map<std::string, int> TableEdits::ValuesOf(const std::string& table) {
  const nlohmann::json json = nlohmann::json::parse(table, nullptr, false);
  std::map<std::string, int> values;
  if (!json.is_object()) {
    return values;
  }
  for (const nlohmann::json& row :
       json.value("rows", nlohmann::json::array())) {
    values[row.value("service", "")] = row.value(kColumn, 0);
  }
  return values;
}

bool TableEdits::AreIn(const std::string& table) const {
  std::map<std::string, int> values = ValuesOf(table);
  for (const auto& [service, value] : latest_) {
    if (values[service] != value) {
      return false;
    }
  }
  return true;
}

}  // namespace dragonflytack
