#include "store/store_faults.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace dragonflytack {

namespace {

constexpr std::array<std::string_view, 5> kOutageNames = {
    "off", "refuse", "hang", "close", "unavailable"};

struct FaultSetting {
  std::string_view name;
  int StoreFaults::*value;
  int minimum;
};

constexpr std::array<FaultSetting, 4> kFaultSettings = {{
    {"delay_ms", &StoreFaults::delay_ms, 0},
    {"lose_answers", &StoreFaults::lose_responses, -1},
    {"writes_per_s", &StoreFaults::writes_per_s, 0},
    {"reads_per_s", &StoreFaults::reads_per_s, 0},
}};

}  // namespace

bool StoreFaults::Set(std::string_view name, const std::string& value) {
  if (name == "outage") {
    const auto found =
        std::find(kOutageNames.begin(), kOutageNames.end(), value);
    if (found == kOutageNames.end()) {
      return false;
    }
    outage = static_cast<StoreOutage>(found - kOutageNames.begin());
    return true;
  }
  const auto found = std::find_if(
      kFaultSettings.begin(), kFaultSettings.end(),
      [name](const FaultSetting& item) { return item.name == name; });
  int number = 0;
  const auto [end, error] =
      std::from_chars(value.data(), value.data() + value.size(), number);
  if (found == kFaultSettings.end() || error != std::errc() ||
      end != value.data() + value.size() || number < found->minimum) {
    return false;
  }
  this->*found->value = number;
  return true;
}

std::vector<std::pair<std::string, std::string>> StoreFaults::Describe() const {
  std::vector<std::pair<std::string, std::string>> all;
  all.emplace_back("outage", kOutageNames[static_cast<size_t>(outage)]);
  for (const FaultSetting& item : kFaultSettings) {
    all.emplace_back(item.name, std::to_string(this->*item.value));
  }
  return all;
}

}  // namespace dragonflytack
