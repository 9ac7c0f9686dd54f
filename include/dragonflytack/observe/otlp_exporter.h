#ifndef DRAGONFLYTACK_OBSERVE_OTLP_EXPORTER_H_
#define DRAGONFLYTACK_OBSERVE_OTLP_EXPORTER_H_

#include <memory>

namespace dragonflytack {

class EventLoop;
class Logger;
class MetricsRegistry;
class Tracer;
struct Settings;

// Periodically sends the recorded spans as OTLP/JSON over HTTP to the collector
// named in the settings. Spans that the collector does not accept are counted
// and not sent again; they remain readable in the tracer.
class OtlpExporter final {
 public:
  // Returns null if the settings name no collector. The pointers must outlive
  // the exporter.
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
