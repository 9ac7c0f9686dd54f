#include "dragonflytack/observe/metrics_registry.h"

#include <iterator>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace dragonflytack {

template <typename Metric>
struct MetricsRegistry::Family {
  std::string help;
  std::map<Labels, std::unique_ptr<Metric>> metrics;
};

namespace {

std::string EscapeLabelValue(const std::string& value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\\' || character == '"') {
      escaped += '\\';
    }
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    escaped += character;
  }
  return escaped;
}

// Returns the labels in braces, with `extra` appended unless it is empty.
std::string RenderLabels(const MetricsRegistry::Labels& labels,
                         std::string_view extra = {}) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name,
                        EscapeLabelValue(value));
  }
  if (!extra.empty()) {
    text += fmt::format("{}{}", text.empty() ? "" : ",", extra);
  }
  return text.empty() ? text : "{" + text + "}";
}

void RenderMetric(const std::string& name,
                  const MetricsRegistry::Labels& labels,
                  const Counter& counter,
                  std::string* text) {
  fmt::format_to(std::back_inserter(*text), "{}{} {}\n", name,
                 RenderLabels(labels), counter.value());
}

void RenderMetric(const std::string& name,
                  const MetricsRegistry::Labels& labels,
                  const Gauge& gauge,
                  std::string* text) {
  fmt::format_to(std::back_inserter(*text), "{}{} {}\n", name,
                 RenderLabels(labels), gauge.value());
}

void RenderMetric(const std::string& name,
                  const MetricsRegistry::Labels& labels,
                  const LatencyHistogram& histogram,
                  std::string* text) {
  auto out = std::back_inserter(*text);
  uint64_t count = 0;
  for (const auto& [bound, cumulative_count] : histogram.CumulativeBuckets()) {
    const std::string le =
        bound > 1e6 ? "le=\"+Inf\"" : fmt::format("le=\"{:.6g}\"", bound);
    fmt::format_to(out, "{}_bucket{} {}\n", name, RenderLabels(labels, le),
                   cumulative_count);
    count = cumulative_count;
  }
  fmt::format_to(out, "{}_sum{} {:.9g}\n", name, RenderLabels(labels),
                 histogram.sum_seconds());
  fmt::format_to(out, "{}_count{} {}\n", name, RenderLabels(labels), count);
}

template <typename Families>
void RenderFamilies(const Families& families,
                    std::string_view type,
                    std::string* text) {
  for (const auto& [name, family] : families) {
    fmt::format_to(std::back_inserter(*text), "# HELP {} {}\n# TYPE {} {}\n",
                   name, family.help, name, type);
    for (const auto& [labels, metric] : family.metrics) {
      RenderMetric(name, labels, *metric, text);
    }
  }
}

}  // namespace

MetricsRegistry::MetricsRegistry() = default;

MetricsRegistry::~MetricsRegistry() = default;

template <typename Metric>
Metric* MetricsRegistry::Get(std::map<std::string, Family<Metric>>* families,
                             const std::string& name,
                             const std::string& help,
                             const Labels& labels) {
  std::lock_guard<std::mutex> lock(mutex_);
  Family<Metric>& family = (*families)[name];
  family.help = help;
  std::unique_ptr<Metric>& metric = family.metrics[labels];
  if (metric == nullptr) {
    metric = std::make_unique<Metric>();
  }
  return metric.get();
}

Counter* MetricsRegistry::GetCounter(const std::string& name,
                                     const std::string& help,
                                     const Labels& labels) {
  return Get(&counters_, name, help, labels);
}

Gauge* MetricsRegistry::GetGauge(const std::string& name,
                                 const std::string& help,
                                 const Labels& labels) {
  return Get(&gauges_, name, help, labels);
}

LatencyHistogram* MetricsRegistry::GetHistogram(const std::string& name,
                                                const std::string& help,
                                                const Labels& labels) {
  return Get(&histograms_, name, help, labels);
}

std::string MetricsRegistry::RenderText() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::string text;
  RenderFamilies(counters_, "counter", &text);
  RenderFamilies(gauges_, "gauge", &text);
  RenderFamilies(histograms_, "histogram", &text);
  return text;
}

}  // namespace dragonflytack
