#include "dragonflytack/observe/otlp_exporter.h"

#include <criterion/criterion.h>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/base/system_clock.h"
#include "dragonflytack/observe/metrics_registry.h"
#include "dragonflytack/observe/tracer.h"
#include "raw_server.h"

namespace dragonflytack {

namespace {

constexpr char kAcceptedResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
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
  ExportFixture rejecting(loop.get(), &clock, kRejectedResponse);
  ExportFixture unresponsive(loop.get(), &clock, "");
  // The export period is 2 s and the timeout of a request is 5 s.
  loop->timers().SubscribeOnce(Milliseconds(12'000), [&] { loop->Stop(); });
  loop->timers().SubscribeEvery(Milliseconds(20), [&] {
    if (accepting.exported() + rejecting.failed() + unresponsive.failed() >=
        3) {
      loop->Stop();
    }
  });
  loop->Run();
  cr_expect(accepting.exported() == 1 && accepting.failed() == 0);
  cr_expect(rejecting.exported() == 0 && rejecting.failed() == 1);
  cr_expect(unresponsive.exported() == 0 && unresponsive.failed() == 1);
  cr_expect(accepting.requests() == 1 && unresponsive.requests() == 1);
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
