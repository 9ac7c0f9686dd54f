#include "soak_driver/soak_log.h"

#include <utility>

#include <fmt/format.h>

namespace dragonflytack {

SoakLog::SoakLog(const std::string& path)
    : file_(path, std::ios::trunc), epoch_(std::chrono::steady_clock::now()) {}

void SoakLog::SetEpoch(SoakTime epoch) {
  std::lock_guard<std::mutex> lock(mutex_);
  epoch_ = epoch;
}

void SoakLog::Write(const std::string& text) {
  std::lock_guard<std::mutex> lock(mutex_);
  WriteLine(text);
}

void SoakLog::ReportFailure(SoakFailure failure) {
  std::lock_guard<std::mutex> lock(mutex_);
  WriteLine("FAILED " + failure.text);
  failures_.push_back(std::move(failure));
}

std::vector<SoakFailure> SoakLog::failures() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return failures_;
}

void SoakLog::WriteLine(const std::string& text) {
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - epoch_;
  file_ << fmt::format("{:8.3f} {}\n", elapsed.count(), text) << std::flush;
}

}  // namespace dragonflytack
