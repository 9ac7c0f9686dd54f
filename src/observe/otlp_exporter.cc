#include "dragonflytack/observe/otlp_exporter.h"

#include <string>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/observe/metrics_registry.h"
#include "dragonflytack/observe/otlp_json.h"
#include "dragonflytack/observe/tracer.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kExportPeriod{2000};
constexpr int kRequestTimeoutSeconds = 5;
constexpr int kHttpOk = 200;
constexpr const char* kPath = "/v1/traces";

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
            "Spans that the trace collector has not accepted.")) {
    timer_ =
        loop_->timers().SubscribeEvery(kExportPeriod, [this] { Export(); });
  }

  ~Impl() {
    loop_->timers().Cancel(timer_);
    CloseConnection();
  }

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
    if (connection_ == nullptr) {
      connection_ = evhttp_connection_base_new(
          loop_->base(), nullptr, collector_.address.c_str(), collector_.port);
      evhttp_connection_set_timeout(connection_, kRequestTimeoutSeconds);
    }
    evhttp_request* request = evhttp_request_new(&Impl::OnResponse, this);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", collector_.ToString().c_str());
    evhttp_add_header(headers, "Content-Type", "application/json");
    const std::string body =
        RenderOtlpJson(node_, region_, data_centre_, spans);
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(),
                 body.size());
    if (evhttp_make_request(connection_, request, EVHTTP_REQ_POST, kPath) !=
        0) {
      Finish(false);
    }
  }

  static void OnResponse(evhttp_request* request, void* self) {
    const bool accepted = request != nullptr &&
                          evhttp_request_get_response_code(request) == kHttpOk;
    static_cast<Impl*>(self)->Finish(accepted);
  }

  void Finish(bool accepted) {
    const size_t spans = std::exchange(pending_spans_, 0);
    (accepted ? exported_ : failed_)->Add(spans);
    if (!accepted) {
      logger_->Warning("span_export_failed",
                       {{"collector", collector_.ToString()},
                        {"spans", static_cast<uint64_t>(spans)}});
    }
  }

  void CloseConnection() {
    if (connection_ != nullptr) {
      evhttp_connection_free(std::exchange(connection_, nullptr));
    }
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
  evhttp_connection* connection_ = nullptr;
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
