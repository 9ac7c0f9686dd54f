#include "measure_driver/linear_fit.h"

#include <cmath>
#include <map>
#include <string>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dragonflytack {

LinearFit LinearFit::Through(
    const std::vector<std::pair<double, double>>& points) {
  const double count = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const auto& [x, y] : points) {
    mean_x += x / count;
    mean_y += y / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const auto& [x, y] : points) {
    covariance += (x - mean_x) * (y - mean_y);
    variance += (x - mean_x) * (x - mean_x);
  }
  LinearFit fit;
  fit.slope = variance > 0 ? covariance / variance : 0;
  fit.intercept = mean_y - fit.slope * mean_x;
  double squares = 0;
  for (const auto& [x, y] : points) {
    squares += (y - fit.At(x)) * (y - fit.At(x));
  }
  fit.rms_error = std::sqrt(squares / count);
  return fit;
}

void PrintFits(std::istream& lines, int nodes) {
  struct Series {
    std::string unit;
    std::vector<std::pair<double, double>> points;
  };
  std::map<std::pair<std::string, std::string>, Series> series;
  std::string text;
  while (std::getline(lines, text)) {
    const nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
    if (!line.is_object() || !line.contains("figure")) {
      continue;
    }
    Series& current = series[{line["figure"], line.value("mode", "")}];
    current.unit = line.value("unit", "");
    current.points.emplace_back(line.value("nodes", 0.0),
                                line.value("value", 0.0));
  }
  for (const auto& [key, current] : series) {
    const LinearFit fit = LinearFit::Through(current.points);
    nlohmann::ordered_json line = {
        {"figure", key.first},        {"mode", key.second},
        {"unit", current.unit},       {"points", current.points.size()},
        {"intercept", fit.intercept}, {"slope_per_node", fit.slope},
        {"rms_error", fit.rms_error}, {"nodes", nodes},
        {"value", fit.At(nodes)}};
    fmt::print("{}\n", line.dump());
  }
}

}  // namespace dragonflytack
