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

constexpr char kAccepts[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
constexpr char kRefuses[] =
    "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";

// An exporter with one span to send to a collector with a fixed answer.
class Export {
 public:
  Export(EventLoop* loop, const Clock* clock, const std::string& response)
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
// refused them or never answered, and against an exporter that a silent
// collector blocks for good.
Test(otlp_exporter, counts_what_the_collector_takes) {
  const SystemClock clock;
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  Export accepting(loop.get(), &clock, kAccepts);
  Export refusing(loop.get(), &clock, kRefuses);
  Export silent(loop.get(), &clock, "");
  // The period is 2 s and the timeout of a request 5 s.
  loop->timers().SubscribeOnce(Milliseconds(12'000), [&] { loop->Stop(); });
  loop->timers().SubscribeEvery(Milliseconds(20), [&] {
    if (accepting.exported() + refusing.failed() + silent.failed() >= 3) {
      loop->Stop();
    }
  });
  loop->Run();
  cr_expect(accepting.exported() == 1 && accepting.failed() == 0);
  cr_expect(refusing.exported() == 0 && refusing.failed() == 1);
  cr_expect(silent.exported() == 0 && silent.failed() == 1);
  cr_expect(accepting.requests() == 1 && silent.requests() == 1);
}

// Guards against an exporter without a collector.
Test(otlp_exporter, is_not_made_without_a_collector) {
  const SystemClock clock;
  const std::unique_ptr<EventLoop> loop = EventLoop::Make(&clock);
  Logger logger(&clock, LogLevel::kError, "");
  Tracer tracer(1, 1);
  MetricsRegistry metrics;
  cr_expect(OtlpExporter::Make(Settings{}, loop.get(), &tracer, &metrics,
                               &logger) == nullptr);
}

}  // namespace dragonflytack
