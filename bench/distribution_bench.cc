// Prints one JSON line per measurement of the distribution core: encoded sizes,
// processor time and memory at several registry sizes.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "distribution/link_table.h"
#include "distribution/message_codec.h"
#include "distribution/overlay.h"
#include "distribution/registry_sync.h"
#include "distribution/route_builder.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/manual_clock.h"
#include "dragonflytack/distribution/link_layer.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "dragonflytack/table/table.h"
#include "dragonflytack/table/table_delta.h"
#include "registry/registry.h"

namespace dragonflytack {

namespace {

constexpr int kLinks = 8;
constexpr size_t kDataCentres = 11;
constexpr size_t kServices = 180;

// Counts the bytes sent and drops the frames.
class CountingLinkLayer final : public LinkLayer {
 public:
  LinkId Connect(const HostPort&) override { return ++last_; }
  void Close(LinkId) override {}
  void Send(LinkId, std::string frame) override { bytes += frame.size(); }
  size_t QueuedBytes(LinkId) const override { return 0; }
  size_t bytes = 0;

 private:
  LinkId last_ = 0;
};

NodeRecord MakeRecord(size_t index, size_t nodes) {
  const size_t data_centre = index % kDataCentres;
  const size_t services = std::max<size_t>(1, nodes * kServices / 5300);
  NodeRecord record;
  record.id = fmt::format("host-{:05}", index);
  record.incarnation = 1'700'000'000'000 + index * 977;
  record.sequence = 3 + index % 5;
  record.region = fmt::format("region-{}", data_centre % 3);
  record.data_centre =
      fmt::format("region-{}-{}", data_centre % 3, data_centre / 3);
  record.address =
      fmt::format("10.{}.{}.{}", data_centre, index / 250, index % 250);
  record.peer_port = 7003;
  record.mesh_port = 7002;
  record.admin_port = 7004;
  record.service = fmt::format("service-{:03}", index % services);
  record.state = TargetState::kReady;
  record.warming_since_ms = static_cast<int64_t>(record.incarnation) + 1'500;
  record.slots = 12;
  return record;
}

Table::Rows MakeRows() {
  Table::Rows rows;
  for (size_t i = 0; i < kServices; ++i) {
    ServiceRow row;
    row.service = fmt::format("service-{:03}", i);
    row.weights = {{"region-0", 100}, {"region-1", 50}};
    rows[row.service] = row;
  }
  return rows;
}

// Returns the mean processor time of one call of `action` in microseconds.
double Measure(int rounds, const std::function<void(int)>& action) {
  const std::clock_t start = std::clock();
  for (int i = 0; i < rounds; ++i) {
    action(i);
  }
  return 1e6 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC /
         rounds;
}

size_t HeapBytes() {
  return mallinfo2().uordblks;
}

void Print(size_t nodes, const char* name, const char* unit, double value) {
  fmt::print(
      "{{\"nodes\":{},\"measure\":\"{}\",\"unit\":\"{}\",\"value\":"
      "{:.2f}}}\n",
      nodes, name, unit, value);
}

void RunBenchmarks(size_t nodes) {
  ManualClock clock;
  Logger logger(&clock, LogLevel::kError, "bench");
  CountingLinkLayer layer;
  LinkTable links(&layer, &clock, "region-0", "region-0-0");

  const size_t heap_before = HeapBytes();
  Registry registry(&clock);
  RegistrySync records(MakeRecord(0, nodes), &registry, &links, &clock, &logger,
                       [] {});
  for (size_t i = 1; i < nodes; ++i) {
    registry.Merge(MakeRecord(i, nodes), Liveness::kAlive, 0);
  }
  const size_t heap_registry = HeapBytes();
  Print(nodes, "registry_memory", "bytes",
        static_cast<double>(heap_registry - heap_before));
  for (int i = 0; i < kLinks; ++i) {
    links.MarkUp(static_cast<LinkId>(i) + 1,
                 MakeRecord(static_cast<size_t>(i) * kDataCentres + 11, nodes),
                 true);
  }

  Failure reason;
  const auto table = Table::Make(7, MakeRows(), &reason);
  Table::Rows edited = MakeRows();
  edited["service-001"].max_queue = 65;
  const auto next = Table::Make(8, std::move(edited), &reason);
  const HeartbeatMessage heartbeat{true, 7, registry.digests().whole()};
  const std::string frame = MessageCodec::Encode(heartbeat);
  Print(nodes, "heartbeat_size", "bytes", static_cast<double>(frame.size()));
  Print(nodes, "record_size", "bytes",
        static_cast<double>(
            MessageCodec::Encode(RecordsMessage{{{MakeRecord(1, nodes)}}, {}})
                .size()));
  const std::string delta_frame =
      MessageCodec::Encode(DeltaMessage{TableDelta::Between(*table, *next)});
  Print(nodes, "delta_size", "bytes", static_cast<double>(delta_frame.size()));
  layer.bytes = 0;
  LinkState* link = links.Find(1);
  links.Send(link, TableMessage{7, table->digest(), table->rows()});
  Print(nodes, "snapshot_table_size", "bytes",
        static_cast<double>(layer.bytes));
  records.SendAll(link);
  Print(nodes, "snapshot_size", "bytes", static_cast<double>(layer.bytes));

  // A heartbeat is encoded once and sent on each link; one is received on each
  // link.
  Print(nodes, "heartbeat_all_links", "cpu_us", Measure(20'000, [&](int) {
          const Message message =
              HeartbeatMessage{true, 7, registry.digests().whole()};
          const std::string sent = MessageCodec::Encode(message);
          for (LinkState* peer : links.Up()) {
            links.SendFrame(peer, message.index(), sent);
            const auto received = MessageCodec::Decode(frame, &reason);
            records.OnDigest(peer, std::get<HeartbeatMessage>(*received).digest,
                             true);
          }
        }));
  // A record is received on one link, merged and sent on the other links.
  Print(nodes, "record_update_and_flood", "cpu_us",
        Measure(5'000, [&](int round) {
          NodeRecord record =
              MakeRecord(1 + static_cast<size_t>(round) % (nodes - 1), nodes);
          record.sequence = static_cast<uint64_t>(round) + 100;
          const auto received = MessageCodec::Decode(
              MessageCodec::Encode(RecordsMessage{{{record}}, {}}), &reason);
          records.OnRecords(link, std::get<RecordsMessage>(*received));
          records.Flush();
        }));

  const size_t heap_routes = HeapBytes();
  RouteBuilder routes(&registry, /*holds_new_releases=*/false);
  auto snapshot = routes.Build(table, table->version());
  Print(nodes, "route_snapshot_memory", "bytes",
        static_cast<double>(HeapBytes() - heap_routes));
  Print(nodes, "routes_whole", "cpu_us", Measure(20, [&](int) {
          RouteBuilder fresh(&registry, /*holds_new_releases=*/false);
          fresh.Build(table, table->version());
        }));
  Print(nodes, "routes_one_service", "cpu_us", Measure(500, [&](int round) {
          NodeRecord record = MakeRecord(1, nodes);
          record.sequence = static_cast<uint64_t>(round) + 100'000;
          registry.Merge(record, Liveness::kAlive, 0);
          snapshot = routes.Build(table, table->version());
        }));
  Print(nodes, "routes_nodes_map", "cpu_us", Measure(100, [&](int round) {
          NodeRecord record = MakeRecord(1, nodes);
          record.incarnation += static_cast<uint64_t>(1'000 + round);
          registry.Merge(record, Liveness::kAlive, 0);
          snapshot = routes.Build(table, table->version());
        }));
  // Cost of the daemon's periodic malloc_trim() after a rebuild of all routes.
  Print(nodes, "trim_after_routes_whole", "cpu_us", Measure(20, [&](int) {
          RouteBuilder fresh(&registry, /*holds_new_releases=*/false);
          fresh.Build(table, table->version());
          malloc_trim(0);
        }));
  Print(nodes, "trim", "cpu_us", Measure(20, [](int) { malloc_trim(0); }));
  Print(nodes, "overlay", "cpu_us",
        Measure(50, [&](int) { Overlay::Compute(registry, "host-00000"); }));
}

}  // namespace

}  // namespace dragonflytack

int main() {
  for (const size_t nodes : {500, 1000, 2000, 5300}) {
    dragonflytack::RunBenchmarks(nodes);
  }
  return 0;
}
