#include "measure_driver/report.h"

#include <cstdio>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dragonflytack {

Report::Report(std::string mode, int nodes)
    : mode_(std::move(mode)), nodes_(nodes) {}

void Report::Print(const std::string& figure,
                   double value,
                   const std::string& unit,
                   std::optional<double> target) {
  Write(figure, value, unit, target, !target || value <= *target);
}

void Report::PrintAtLeast(const std::string& figure,
                          double value,
                          const std::string& unit,
                          double target) {
  Write(figure, value, unit, target, value >= target);
}

void Report::Write(const std::string& figure,
                   double value,
                   const std::string& unit,
                   std::optional<double> target,
                   bool met) {
  all_met_ = all_met_ && met;
  nlohmann::ordered_json line = {{"figure", figure}, {"mode", mode_},
                                 {"nodes", nodes_},  {"value", value},
                                 {"unit", unit},     {"target", nullptr}};
  if (target) {
    line["target"] = *target;
    line["met"] = met;
  }
  fmt::print("{}\n", line.dump());
  std::fflush(stdout);
}

}  // namespace dragonflytack
