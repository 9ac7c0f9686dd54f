#ifndef TOOLS_MEASURE_DRIVER_REPORT_H_
#define TOOLS_MEASURE_DRIVER_REPORT_H_

#include <optional>
#include <string>

namespace dragonflytack {

// Prints the figures of a measurement, one JSON object per line, and records
// whether every target was met.
class Report final {
 public:
  // `mode` distinguishes variants of the same measurement, for example "push"
  // and "baseline".
  Report(std::string mode, int nodes);

  // Prints a figure. If there is a target, it is met by values up to it.
  void Print(const std::string& figure,
             double value,
             const std::string& unit,
             std::optional<double> target = std::nullopt);

  // As Print(), but the target is a lower limit.
  void PrintAtLeast(const std::string& figure,
                    double value,
                    const std::string& unit,
                    double target);

  bool all_met() const { return all_met_; }

 private:
  void Write(const std::string& figure,
             double value,
             const std::string& unit,
             std::optional<double> target,
             bool met);

  const std::string mode_;
  const int nodes_;
  bool all_met_ = true;
};

}  // namespace dragonflytack

#endif  // TOOLS_MEASURE_DRIVER_REPORT_H_
