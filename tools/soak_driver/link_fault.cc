#include "soak_driver/link_fault.h"

#include <fmt/format.h>

namespace dragonflytack {

namespace {

const char* NameOf(LinkFaultKind kind) {
  switch (kind) {
    case LinkFaultKind::kDelay:
      return "delay";
    case LinkFaultKind::kReset:
      return "reset";
    case LinkFaultKind::kCutForward:
      return "cut_forward";
    case LinkFaultKind::kCutBackward:
      return "cut_backward";
    case LinkFaultKind::kSilence:
      return "silence";
  }
  return "";
}

}  // namespace

std::string LinkFault::ToString() const {
  return fmt::format("{} from {:x} to {:x} port {} delay_ms {}{}{}",
                     NameOf(kind), sources, destinations, port, delay_ms,
                     open_only ? " open_only" : "",
                     for_good ? " for_good" : "");
}

}  // namespace dragonflytack
