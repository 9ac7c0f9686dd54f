#include "routing/target_load_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace dragonflytack {

namespace {

// Weight of the newest sample in the moving averages. With less smoothing the
// heavy tail of the run times decides which target seems fast.
constexpr double kSmoothing = 0.05;
constexpr double kMeanSmoothing = 0.1;
constexpr double kFailureSmoothing = 0.1;

// Time in which a report loses two thirds of its weight: some run times.
constexpr Milliseconds kReportDecay{1000};
// The same for the mean of earlier reports.
constexpr Milliseconds kMeanDecay{3000};
// Age at which the report of a target with calls in flight ends to lose weight.
// The calls of the busiest target take longest, so a target that is slow to
// respond must not seem to have room again.
constexpr Milliseconds kMaxAgeInFlight{1000};

// Calls per slot of a target without any recent report. Slightly more than
// full with old ones and slightly less than full with none, so that targets
// that are known to have room come first, and unknown ones are tried.
constexpr double kUnknownOccupancy = 1.1;
constexpr double kUnreportedOccupancy = 0.95;
// Calls per slot up to which a target has room.
constexpr double kRoomOccupancy = 0.96;

// Other nodes that learn of a free slot send calls to it at the same moment, so
// a call that this node has sent since the report stands for up to this many.
// In the model 3 to 6 give the same waits, 1 and 2 longer ones.
constexpr double kMaxCallsPerOwnCall = 4;
// Keeps the share of this node defined where nearly no call runs.
constexpr double kShareMargin = 0.1;

// Variance of the calls at a target per slot: at the moment of the report, and
// added when the report has lost its weight.
constexpr double kReportVariance = 0.15;
constexpr double kAgeVariance = 0.5;

// A failed call costs another one and frees its slot early, so the share of
// failures counts this often as taken slots.
constexpr double kFailureWeight = 2;

// Part of the run time that Cost() adds for each call per slot.
constexpr double kOccupancyCost = 0.2;

double Decay(Milliseconds age, Milliseconds time) {
  return std::exp(-static_cast<double>(age.count()) /
                  static_cast<double>(time.count()));
}

// Returns the mean of the part above zero of a normal variable.
double MeanAboveZero(double mean, double deviation) {
  const double z = mean / deviation;
  const double density =
      std::exp(-z * z / 2) * std::numbers::inv_sqrtpi / std::numbers::sqrt2;
  const double probability = std::erfc(-z / std::numbers::sqrt2) / 2;
  return deviation * (density + z * probability);
}

}  // namespace

void TargetLoadModel::OnOccupancy(double calls, int own_calls, TimePoint now) {
  if (reported_at_ == TimePoint()) {
    mean_calls_ = calls;
    mean_own_calls_ = own_calls;
  }
  mean_calls_ += kMeanSmoothing * (calls - mean_calls_);
  mean_own_calls_ += kMeanSmoothing * (own_calls - mean_own_calls_);
  reported_calls_ = calls;
  reported_at_ = now;
  sent_since_report_ = 0;
}

void TargetLoadModel::OnTargetReport(const TargetLoad& load, TimePoint now) {
  load_ = std::min(load.occupancy(), 1.0);
  work_time_ = static_cast<double>(load.work_time_percent()) /
               TargetLoad::kUsualWorkTime;
  target_report_until_ = now + kReportLifetime;
}

void TargetLoadModel::OnCallEnded(AttemptOutcome outcome,
                                  Microseconds latency,
                                  const View& view) {
  if (outcome == AttemptOutcome::kNeutral) {
    return;
  }
  const bool success = outcome == AttemptOutcome::kSuccess;
  if (outcome != AttemptOutcome::kSuperseded) {
    failure_share_ += kFailureSmoothing * ((success ? 0 : 1) - failure_share_);
    last_end_ = view.now;
  }
  // The mean occupancy above 1 is the part of the latency that calls wait.
  const double waiting_factor = std::max(1.0, mean_calls_ / view.slots);
  double sample_us = latency.count() / waiting_factor;
  if (!success) {
    // Fast failures must not make the target seem fast.
    sample_us = std::max(sample_us, RunTimeMicros(view));
  }
  run_time_us_ = run_time_us_ == 0
                     ? sample_us
                     : run_time_us_ + kSmoothing * (sample_us - run_time_us_);
}

double TargetLoadModel::RunTimeMicros(const View& view) const {
  return run_time_us_ > 0 ? run_time_us_ : view.usual_run_time.count();
}

bool TargetLoadModel::HasReport(const View& view) const {
  return reported_at_ != TimePoint() && ReportAge(view) < kReportLifetime;
}

Milliseconds TargetLoadModel::ReportAge(const View& view) const {
  const auto age =
      std::chrono::duration_cast<Milliseconds>(view.now - reported_at_);
  return view.in_flight > 0 ? std::min(age, kMaxAgeInFlight) : age;
}

double TargetLoadModel::LoadFactor(TimePoint now) const {
  return now < target_report_until_ ? kMinReportFactor + load_ : 1;
}

double TargetLoadModel::WorkTimeFactor(const View& view) const {
  if (view.now >= target_report_until_) {
    return 1;
  }
  return std::clamp(1 + (work_time_ - 1) * Decay(ReportAge(view), kReportDecay),
                    kMinReportFactor, kMaxReportFactor);
}

double TargetLoadModel::SlotsOfFailures(const View& view) const {
  const auto age =
      std::chrono::duration_cast<Milliseconds>(view.now - last_end_);
  return kFailureWeight * failure_share_ * view.slots *
         Decay(std::min(age, kReportLifetime), kReportLifetime);
}

double TargetLoadModel::EstimateCalls(const View& view) const {
  const double slots = view.slots;
  const double in_flight = view.in_flight;
  if (!HasReport(view)) {
    return std::max(in_flight, kUnreportedOccupancy * slots +
                                   (1 - kUnreportedOccupancy) * in_flight);
  }
  const Milliseconds age = ReportAge(view);
  const double unknown = kUnknownOccupancy * slots;
  const double usual =
      unknown + (mean_calls_ - unknown) * Decay(age, kMeanDecay);
  const double calls_per_own_call = std::clamp(
      (mean_calls_ + kShareMargin) / (mean_own_calls_ + kShareMargin), 1.0,
      kMaxCallsPerOwnCall);
  return std::max(in_flight,
                  usual + (reported_calls_ - usual) * Decay(age, kReportDecay) +
                      calls_per_own_call * sent_since_report_);
}

bool TargetLoadModel::HasRoom(const View& view) const {
  return HasRoomBeside(SlotsOfFailures(view), view);
}

bool TargetLoadModel::HasRoomWithoutFailures(const View& view) const {
  return HasRoomBeside(0, view);
}

bool TargetLoadModel::HasRoomBeside(double taken_slots,
                                    const View& view) const {
  return HasReport(view)
             ? EstimateCalls(view) + taken_slots <= kRoomOccupancy * view.slots
             : view.in_flight + taken_slots < view.slots;
}

double TargetLoadModel::Weight(const View& view) const {
  const double free_slots =
      view.slots - EstimateCalls(view) - SlotsOfFailures(view);
  const double run_time_us = std::max(RunTimeMicros(view), 1.0);
  return std::max(free_slots, (1 - kRoomOccupancy) * view.slots) /
         (run_time_us * LoadFactor(view.now));
}

TargetLoadModel::Microseconds TargetLoadModel::ExpectedWait(
    const View& view) const {
  const double slots = view.slots;
  const double weight =
      HasReport(view) ? Decay(ReportAge(view), kReportDecay) : 0;
  const double deviation = std::sqrt(
      slots * (kReportVariance + kAgeVariance * (1 - weight * weight)));
  const double calls = EstimateCalls(view) + SlotsOfFailures(view);
  return Microseconds(MeanAboveZero(calls + 1 - slots, deviation) / slots *
                      RunTimeMicros(view) * WorkTimeFactor(view));
}

TargetLoadModel::Microseconds TargetLoadModel::Cost(const View& view) const {
  return ExpectedWait(view) +
         Microseconds(kOccupancyCost * RunTimeMicros(view) *
                      EstimateCalls(view) / view.slots);
}

}  // namespace dragonflytack
