// Prints the cost of one-time records as JSON lines: processor time per
// operation and bytes per record.

#include <malloc.h>
#include <cstdint>
#include <ctime>
#include <functional>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "onetime/attempt_guard.h"
#include "onetime/attempt_id_generator.h"
#include "onetime/handover_message.h"
#include "onetime/handover_receiver.h"
#include "onetime/handover_sender.h"
#include "onetime/one_time_records.h"
#include "onetime/recorded_response.h"

namespace dragonflytack {

namespace {

constexpr int kRecords = 100'000;
constexpr size_t kResponseBytes = 64;
constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr std::string_view kSecret = "0123456789abcdef0123456789abcdef";

double CpuNanos() {
  timespec time;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return 1e9 * static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec);
}

void Measure(const char* name, int count, const std::function<void(int)>& run) {
  const double start = CpuNanos();
  for (int i = 0; i < count; ++i) {
    run(i);
  }
  fmt::print("{{\"bench\":\"{}\",\"count\":{},\"cpu_ns_per_op\":{:.0f}}}\n",
             name, count, (CpuNanos() - start) / count);
}

size_t HeapBytes() {
  return mallinfo2().uordblks;
}

void RunAll() {
  // Limits that the benchmark does not reach.
  const RecordLimits limits{.max_records = size_t{2} * kRecords,
                            .max_response_bytes = 1U << 30};
  OneTimeRecords owner("node-1", 1, 1'700'000'000'000, kNow, limits);
  std::vector<OneTimeKey> keys;
  keys.reserve(kRecords);
  Measure("new_key", kRecords, [&](int) {
    keys.push_back(owner.NewKey(kNow, std::chrono::minutes(10)));
  });
  std::vector<std::string> texts(kRecords);
  Measure("key_to_text", kRecords,
          [&](int i) { texts[i] = keys[i].ToText(kSecret); });
  Failure reason;
  Measure("parse_key", kRecords, [&](int i) {
    if (!OneTimeKey::Parse(texts[i], kSecret, &reason)) {
      fmt::print(stderr, "{}\n", reason.ToString());
    }
  });
  size_t heap = HeapBytes();
  Measure("begin", kRecords, [&](int i) { owner.Begin(keys[i], i, kNow); });
  fmt::print("{{\"bench\":\"record\",\"bytes_per_record\":{:.0f}}}\n",
             static_cast<double>(HeapBytes() - heap) / kRecords);
  heap = HeapBytes();
  Measure("finish", kRecords, [&](int i) {
    owner.FinishDone(keys[i], 1,
                     std::make_shared<const RecordedResponse>(RecordedResponse{
                         200,
                         {{"Content-Type", "application/json"}},
                         std::string(kResponseBytes, 'x')}),
                     kNow);
  });
  fmt::print(
      "{{\"bench\":\"answer\",\"body_bytes\":{},\"bytes_per_answer\":{:.0f}}}"
      "\n",
      kResponseBytes, static_cast<double>(HeapBytes() - heap) / kRecords);
  Measure("begin_recorded", kRecords,
          [&](int i) { owner.Begin(keys[i], i, kNow); });

  AttemptIdGenerator attempt_ids("node-1", 1);
  AttemptGuard guard(7);
  Measure("guard_admit", kRecords,
          [&](int) { guard.Admit(attempt_ids.Next("node-2", 7), kNow); });

  OneTimeRecords successor("node-2", 2, 1'700'000'000'000, kNow, limits);
  HandoverReceiver receiver(&successor, [](const OwnerIncarnation&) {});
  owner.BeginDrain();
  HandoverSender sender(&owner, {{.id = "node-2", .incarnation = 2}});
  size_t messages = 0;
  size_t bytes = 0;
  const double start = CpuNanos();
  while (auto outgoing = sender.Next(kNow)) {
    const std::string encoded = outgoing->message.Encode(kSecret);
    ++messages;
    bytes += encoded.size();
    auto message = HandoverMessage::Decode(encoded, kSecret, &reason);
    sender.OnReply(receiver.OnMessage(std::move(*message), kNow), kNow);
  }
  fmt::print(
      "{{\"bench\":\"handover\",\"records\":{},\"messages\":{},\"bytes\":{},"
      "\"cpu_ns_per_record\":{:.0f}}}\n",
      successor.records(), messages, bytes, (CpuNanos() - start) / kRecords);
  const TimePoint later = kNow + std::chrono::hours(1);
  Measure("sweep_per_2000_records", kRecords / 2'000,
          [&](int) { successor.Sweep(later); });
}

}  // namespace

}  // namespace dragonflytack

int main() {
  dragonflytack::RunAll();
  return 0;
}
