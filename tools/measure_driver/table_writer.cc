#include "measure_driver/table_writer.h"

#include <iterator>
#include <string>

#include <fmt/format.h>

#include "dragonflytack/base/hash.h"
#include "dragonflytack/base/system_clock.h"
#include "support/fleet.h"

namespace dragonflytack {

namespace {

// The table carries this many recent edits, as in production; older ones would
// be archived.
constexpr size_t kKeptEdits = 256;

}  // namespace

TableWriter::TableWriter(Fleet* fleet, int services) : fleet_(fleet) {
  for (const Fleet::Node& node : fleet->nodes()) {
    ServiceRow row;
    row.service = node.service;
    row.slots = fleet->options().slots;
    document_.rows[row.service] = row;
  }
  for (int i = 0; static_cast<int>(document_.rows.size()) < services; ++i) {
    ServiceRow row;
    row.service = fmt::format("service-{:03}", i);
    row.weights = {{"kigali", 100}, {"musanze", 50}, {"rubavu", 50}};
    document_.rows[row.service] = row;
  }
}

TableWriter::WriteResult TableWriter::Write() {
  const uint64_t version =
      fleet_->PutObject("table", document_.ToJson(), version_);
  if (version == 0) {
    return {};
  }
  version_ = version;
  return {version, SystemClock().WallMillis()};
}

TableWriter::WriteResult TableWriter::EditOneCell() {
  const int index = edits_ % static_cast<int>(document_.rows.size());
  ServiceRow& row = std::next(document_.rows.begin(), index)->second;
  const int old_value = row.max_queue;
  row.max_queue = 32 + edits_ % 1000;
  ++edits_;
  document_.recent.push_back(
      {RandomHex(16),
       "measure",
       SystemClock().WallMillis(),
       {{row.service, "max_queue", std::to_string(old_value),
         std::to_string(row.max_queue)}}});
  if (document_.recent.size() > kKeptEdits) {
    document_.recent.erase(document_.recent.begin());
  }
  return Write();
}

}  // namespace dragonflytack
