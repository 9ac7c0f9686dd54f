#include "dragonflytack/observe/otlp_exporter.h"

#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/observe/metrics_registry.h"
#include "dragonflytack/observe/otlp_json.h"
#include "dragonflytack/observe/tracer.h"
#include "net/http_connection.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kExportPeriod{2000};
constexpr Milliseconds kRequestTimeout{5000};
constexpr int kHttpOk = 200;
constexpr const char* kPath = "/v1/traces";
// A collector responds with a number of rejected spans and one message.
constexpr size_t kMaxResponseBytes = 64 << 10;

// Returns whether the collector has accepted the spans. A response without a
// Content-Length, which a collector may send, is kLost with its status.
bool IsAccepted(const HttpResponse& response) {
  return response.status == kHttpOk &&
         (response.outcome == HttpOutcome::kCompleted ||
          response.outcome == HttpOutcome::kLost);
}

// Returns the reason to log for a response that accepts no spans.
std::string RejectionReason(const HttpResponse& response) {
  switch (response.outcome) {
    case HttpOutcome::kNotSent:
      return "unreachable";
    case HttpOutcome::kStaleConnection:
      return "stale_connection";
    case HttpOutcome::kTimeout:
      return "timeout";
    case HttpOutcome::kTooLarge:
      return "too_large";
    case HttpOutcome::kMalformed:
      return "malformed";
    case HttpOutcome::kLost:
    case HttpOutcome::kCompleted:
      break;
  }
  return response.status == 0 ? "connection_lost"
                              : fmt::format("status_{}", response.status);
}

}  // namespace

class OtlpExporter::Impl final {
 public:
  Impl(const Settings& settings,
       EventLoop* loop,
       Tracer* tracer,
       MetricsRegistry* metrics,
       Logger* logger)
      : node_(settings.node_id),
        region_(settings.region),
        data_centre_(settings.data_centre),
        collector_(*settings.trace_collector),
        loop_(loop),
        tracer_(tracer),
        logger_(logger),
        exported_(metrics->GetCounter(
            "dragonflytack_spans_exported_total",
            "Spans that the trace collector has accepted.")),
        failed_(metrics->GetCounter(
            "dragonflytack_spans_export_failed_total",
            "Spans that the trace collector has not accepted.")),
        connection_(loop, collector_, kMaxResponseBytes) {
    timer_ =
        loop_->timers().SubscribeEvery(kExportPeriod, [this] { Export(); });
  }

  ~Impl() { loop_->timers().Cancel(timer_); }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

 private:
  // Sends one request at a time. While a request is in flight, new spans are
  // buffered in the tracer.
  void Export() {
    if (pending_spans_ > 0) {
      return;
    }
    const std::vector<Span> spans = tracer_->TakeUnexported();
    if (spans.empty()) {
      return;
    }
    pending_spans_ = spans.size();
    connection_.Send(
        {.method = "POST",
         .target = kPath,
         .headers = {{"Content-Type", "application/json"}},
         .body = RenderOtlpJson(node_, region_, data_centre_, spans)},
        kRequestTimeout, [this](HttpResponse response) { Finish(response); });
  }

  void Finish(const HttpResponse& response) {
    const size_t spans = std::exchange(pending_spans_, 0);
    if (IsAccepted(response)) {
      exported_->Add(spans);
      return;
    }
    failed_->Add(spans);
    logger_->Warning("span_export_failed",
                     {{"collector", collector_.ToString()},
                      {"spans", static_cast<uint64_t>(spans)},
                      {"reason", RejectionReason(response)}});
  }

  const std::string node_;
  const std::string region_;
  const std::string data_centre_;
  const HostPort collector_;
  EventLoop* const loop_;
  Tracer* const tracer_;
  Logger* const logger_;
  Counter* const exported_;
  Counter* const failed_;
  TimerId timer_ = 0;
  size_t pending_spans_ = 0;
  HttpConnection connection_;
};

std::unique_ptr<OtlpExporter> OtlpExporter::Make(const Settings& settings,
                                                 EventLoop* loop,
                                                 Tracer* tracer,
                                                 MetricsRegistry* metrics,
                                                 Logger* logger) {
  if (!settings.trace_collector) {
    return nullptr;
  }
  return std::unique_ptr<OtlpExporter>(new OtlpExporter(
      std::make_unique<Impl>(settings, loop, tracer, metrics, logger)));
}

OtlpExporter::OtlpExporter(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

OtlpExporter::~OtlpExporter() = default;

}  // namespace dragonflytack
