#include "soak_driver/relay_fault.h"

#include <fmt/format.h>

namespace dragonflytack {

namespace {

const char* NameOf(RelayFaultKind kind) {
  switch (kind) {
    case RelayFaultKind::kDelay:
      return "delay";
    case RelayFaultKind::kReset:
      return "reset";
    case RelayFaultKind::kCutForward:
      return "cut_forward";
    case RelayFaultKind::kCutBackward:
      return "cut_backward";
    case RelayFaultKind::kSilence:
      return "silence";
  }
  return "";
}

}  // namespace

std::string RelayFault::ToString() const {
  return fmt::format("{} to {} of nodes {:x} delay_ms {}{}{}", NameOf(kind),
                     route == RelayRoute::kStore ? "store" : "target", nodes,
                     delay_ms, open_only ? " open_only" : "",
                     for_good ? " for_good" : "");
}

}  // namespace dragonflytack
