#ifndef TOOLS_MEASURE_DRIVER_LINEAR_FIT_H_
#define TOOLS_MEASURE_DRIVER_LINEAR_FIT_H_

#include <istream>
#include <utility>
#include <vector>

namespace dragonflytack {

// A least-squares line through measured points.
struct LinearFit final {
  double intercept = 0;
  double slope = 0;
  // Root of the mean square of the residuals.
  double rms_error = 0;

  // Fits a line to `points`, which must contain two different values of x.
  static LinearFit Through(
      const std::vector<std::pair<double, double>>& points);

  double At(double x) const { return intercept + slope * x; }
};

// Reads the JSON lines of measurements at several fleet sizes and prints, for
// each figure and mode, the fit over the number of nodes and its value at
// `nodes`.
void PrintFits(std::istream& lines, int nodes);

}  // namespace dragonflytack

#endif  // TOOLS_MEASURE_DRIVER_LINEAR_FIT_H_
