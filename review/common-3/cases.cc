#include <map>

#include "broken_copy_cases.h"
#include "lab.h"
#include "leaving_case.h"
#include "odd_entry_case.h"

namespace review {

Case FindCase(const std::string& name) {
  static const std::map<std::string, Case> kCases = {
      {"pay_twice", &PayTwice},
      {"failure_as_success", &FailureAsSuccess},
      {"run_as_refused", &RunAsRefused},
      {"late_after_leaving", &LateAfterLeaving},
      {"leaving_forgotten", &LeavingForgotten},
      {"fleet_stays_apart", &FleetStaysApart},
  };
  const auto found = kCases.find(name);
  return found == kCases.end() ? nullptr : found->second;
}

}  // namespace review
