#ifndef TOOLS_SOAK_DRIVER_SOAK_LOG_H_
#define TOOLS_SOAK_DRIVER_SOAK_LOG_H_

#include <fstream>
#include <mutex>
#include <string>
#include <vector>

#include "soak_driver/call_record.h"
#include "soak_driver/soak_failure.h"

namespace dragonflytack {

// The log of the run of one seed: the schedule, what was done, and the broken
// promises. May be used from any thread.
class SoakLog final {
 public:
  explicit SoakLog(const std::string& path);

  // Sets the time that the lines count from.
  void SetEpoch(SoakTime epoch);
  void Write(const std::string& text);
  // Writes a broken promise and keeps it.
  void ReportFailure(SoakFailure failure);

  std::vector<SoakFailure> failures() const;

 private:
  void WriteLine(const std::string& text);

  mutable std::mutex mutex_;
  std::ofstream file_;
  SoakTime epoch_;
  std::vector<SoakFailure> failures_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_SOAK_LOG_H_
