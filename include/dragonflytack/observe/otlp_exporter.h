#ifndef DRAGONFLYTACK_OBSERVE_OTLP_EXPORTER_H_
#define DRAGONFLYTACK_OBSERVE_OTLP_EXPORTER_H_

#include <memory>

namespace dragonflytack {

class EventLoop;
class Logger;
class MetricsRegistry;
class Tracer;
struct Settings;

// Sends the recorded spans to the collector of the settings every kPeriod as
// OTLP/JSON over HTTP. Spans that the collector does not take are dropped and
// counted; the ring of the tracer stays readable.
class OtlpExporter final {
 public:
  // Returns nothing when the settings name no collector. The pointers must
  // outlive the exporter.
  static std::unique_ptr<OtlpExporter> Make(const Settings& settings,
                                            EventLoop* loop,
                                            Tracer* tracer,
                                            MetricsRegistry* metrics,
                                            Logger* logger);
  ~OtlpExporter();
  OtlpExporter(const OtlpExporter&) = delete;
  OtlpExporter& operator=(const OtlpExporter&) = delete;

 private:
  class Impl;
  explicit OtlpExporter(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_OBSERVE_OTLP_EXPORTER_H_
