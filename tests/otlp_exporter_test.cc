#include "dragonflytack/observe/otlp_exporter.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "call_fixture.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/base/system_clock.h"
#include "dragonflytack/observe/metrics_registry.h"
#include "dragonflytack/observe/tracer.h"
#include "endless_sender.h"
#include "log_reader.h"
#include "raw_server.h"

namespace dragonflytack {

namespace {

constexpr char kAcceptedResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
constexpr char kChunkedResponse[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\n{}\r\n0\r\n\r\n";
constexpr char kRejectedResponse[] =
    "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";

// An exporter with one span and a collector that returns a fixed response.
class ExportFixture {
 public:
  ExportFixture(EventLoop* loop,
                const Clock* clock,
                const std::string& response)
      : collector_(loop, response, false),
        logger_(clock, LogLevel::kError, "") {
    tracer_.Record(Span{});
    Settings settings;
    settings.trace_collector = collector_.address();
    exporter_ =
        OtlpExporter::Make(settings, loop, &tracer_, &metrics_, &logger_);
    cr_assert(exporter_ != nullptr);
  }

  int requests() const { return collector_.requests(); }
  uint64_t exported() { return Count("dragonflytack_spans_exported_total"); }
  uint64_t failed() { return Count("dragonflytack_spans_export_failed_total"); }

 private:
  uint64_t Count(const char* name) {
    return metrics_.GetCounter(name, "")->value();
  }

  RawServer collector_;
  Logger logger_;
  Tracer tracer_{1, 1};
  MetricsRegistry metrics_;
  std::unique_ptr<OtlpExporter> exporter_;
};

}  // namespace

// Guards against spans that are counted as exported although the collector
// rejected them or did not respond, and against an exporter that an
// unresponsive collector blocks permanently.
Test(otlp_exporter, counts_accepted_and_rejected_spans) {
  const SystemClock clock;
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  ExportFixture accepting(loop.get(), &clock, kAcceptedResponse);
  ExportFixture chunked(loop.get(), &clock, kChunkedResponse);
  ExportFixture rejecting(loop.get(), &clock, kRejectedResponse);
  ExportFixture unresponsive(loop.get(), &clock, "");
  // The export period is 2 s and the timeout of a request is 5 s.
  loop->timers().SubscribeOnce(Milliseconds(12'000), [&] { loop->Stop(); });
  loop->timers().SubscribeEvery(Milliseconds(20), [&] {
    if (accepting.exported() + chunked.exported() + rejecting.failed() +
            unresponsive.failed() >=
        4) {
      loop->Stop();
    }
  });
  loop->Run();
  cr_expect(accepting.exported() == 1 && accepting.failed() == 0);
  cr_expect(chunked.exported() == 1 && chunked.failed() == 0);
  cr_expect(rejecting.exported() == 0 && rejecting.failed() == 1);
  cr_expect(unresponsive.exported() == 0 && unresponsive.failed() == 1);
  cr_expect(accepting.requests() == 1 && unresponsive.requests() == 1);
}

// Guards against a collector whose endless response takes unbounded memory,
// keeps its connection open, defers the timeout, counts as an acceptance, has
// no reason in the log, or stops the exports after it.
Test(otlp_exporter, endless_response_fails_one_export, .timeout = 60) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  struct Stream {
    std::string prefix;
    std::string unit;
    Milliseconds pause;
    const char* reason;
  };
  const std::vector<Stream> streams = {
      {ok, "a:b\r\n", Milliseconds(0), "malformed"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n", Milliseconds(0), "malformed"},
      {chunked + "4 ;", "x", Milliseconds(0), "malformed"},
      {chunked, "4\r\nabcd\r\n", Milliseconds(0), "too_large"},
      {ok + "\r\n", "x", Milliseconds(0), "too_large"},
      {ok, "a:b\r\n", Milliseconds(500), "timeout"},
      {ok + "\r\n", "x", Milliseconds(500), "timeout"},
  };
  constexpr uint16_t kFirstPort = 7400;
  // Bounds the memory that a failure of this test takes.
  constexpr size_t kMemoryLimit = 256 << 20;
  const SystemClock clock;
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  Logger logger(&clock, LogLevel::kWarning, "");
  Tracer tracers[] = {{1, 1}, {1, 1}, {1, 1}, {1, 1}, {1, 1}, {1, 1}, {1, 1}};
  MetricsRegistry metrics;
  LogReader log;
  const MemoryGrowth growth;
  std::vector<std::unique_ptr<EndlessSender>> senders;
  std::vector<std::unique_ptr<ScriptedTarget>> collectors;
  std::vector<std::unique_ptr<OtlpExporter>> exporters;
  for (size_t i = 0; i < streams.size(); ++i) {
    const Stream& stream = streams[i];
    senders.push_back(std::make_unique<EndlessSender>(
        stream.prefix, stream.unit, stream.pause));
    Settings settings;
    settings.trace_collector =
        HostPort{LoopbackAddress(0), static_cast<uint16_t>(kFirstPort + i)};
    collectors.push_back(std::make_unique<ScriptedTarget>(
        settings.trace_collector->address, settings.trace_collector->port,
        [sender = senders.back().get()](int fd, const std::string&, int n) {
          return n == 1 ? sender->Run(fd) : ScriptedTarget::Respond(fd, "{}");
        }));
    tracers[i].Record(Span{});
    exporters.push_back(OtlpExporter::Make(settings, loop.get(), &tracers[i],
                                           &metrics, &logger));
  }
  const auto count = [&](const char* name) {
    return metrics.GetCounter(name, "")->value();
  };
  // The export period is 2 s and the timeout of a request is 5 s.
  loop->timers().SubscribeOnce(Milliseconds(14'000), [&] { loop->Stop(); });
  bool again = false;
  loop->timers().SubscribeEvery(Milliseconds(20), [&] {
    if (!again &&
        count("dragonflytack_spans_export_failed_total") == streams.size()) {
      again = true;
      for (Tracer& tracer : tracers) {
        tracer.Record(Span{});
      }
    }
    if (count("dragonflytack_spans_exported_total") == streams.size() ||
        growth.bytes() > kMemoryLimit) {
      loop->Stop();
    }
  });
  loop->Run();
  cr_expect_eq(count("dragonflytack_spans_export_failed_total"),
               streams.size());
  cr_expect_eq(count("dragonflytack_spans_exported_total"), streams.size());
  const size_t memory = growth.bytes();
  cr_expect_leq(memory, size_t{8} << 20, "%zu bytes", memory);
  std::map<std::string, std::string> reasons;
  for (const nlohmann::json& line : log.Find("span_export_failed")) {
    reasons[line["collector"]] = line.value("reason", "");
  }
  for (size_t i = 0; i < streams.size(); ++i) {
    const std::string name = fmt::format("stream {}", i);
    cr_expect(senders[i]->WaitUntilClosed(1), "%s stays open", name.c_str());
    ExpectEqual(
        reasons[fmt::format("{}:{}", LoopbackAddress(0), kFirstPort + i)],
        streams[i].reason, name);
  }
  // Unblocks the collectors whose connections stay open.
  exporters.clear();
}

// Guards against an exporter that has no collector to send to.
Test(otlp_exporter, is_not_created_without_a_collector) {
  const SystemClock clock;
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  Logger logger(&clock, LogLevel::kError, "");
  Tracer tracer(1, 1);
  MetricsRegistry metrics;
  cr_expect(OtlpExporter::Make(Settings{}, loop.get(), &tracer, &metrics,
                               &logger) == nullptr);
}

}  // namespace dragonflytack
