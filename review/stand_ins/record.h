// The record of a run: what was sent, answered and run, with times.
#ifndef REVIEW_STAND_INS_RECORD_H_
#define REVIEW_STAND_INS_RECORD_H_

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Seconds = std::chrono::duration<double>;

class Record final {
 public:
  explicit Record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) {
      std::fclose(file_);
    }
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  double Now() const { return Seconds(Clock::now() - start_).count(); }

  // Writes a line with the time since the start, to the file and to stdout.
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ != nullptr) {
      std::fprintf(file_, "%9.3f %s\n", Now(), text);
      std::fflush(file_);
    }
  }

 private:
  const TimePoint start_ = Clock::now();
  std::mutex mutex_;
  std::FILE* const file_;
};

inline void SleepFor(double seconds) {
  if (seconds > 0) {
    const auto time =
        std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds(seconds));
    const TimePoint end = Clock::now() + time;
    timespec left{};
    while (Clock::now() < end) {
      const auto rest = std::chrono::duration_cast<std::chrono::nanoseconds>(
          end - Clock::now());
      left.tv_sec = rest.count() / 1'000'000'000;
      left.tv_nsec = rest.count() % 1'000'000'000;
      nanosleep(&left, nullptr);
    }
  }
}

}  // namespace review

#endif  // REVIEW_STAND_INS_RECORD_H_
