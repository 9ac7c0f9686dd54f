#include "soak_driver/soak_event.h"

#include <fmt/format.h>

namespace dragonflytack {

namespace {

const char* NameOf(SoakEventKind kind) {
  switch (kind) {
    case SoakEventKind::kTerminate:
      return "terminate";
    case SoakEventKind::kTerminateAgain:
      return "terminate_again";
    case SoakEventKind::kKill:
      return "kill";
    case SoakEventKind::kPause:
      return "pause";
    case SoakEventKind::kPauseTarget:
      return "pause_target";
    case SoakEventKind::kTargetSwitch:
      return "target_switch";
    case SoakEventKind::kStoreFault:
      return "store_fault";
    case SoakEventKind::kStoreReturn:
      return "store_return";
    case SoakEventKind::kRelayFault:
      return "relay_fault";
    case SoakEventKind::kEdit:
      return "edit";
  }
  return "";
}

}  // namespace

std::string SoakEvent::ToString() const {
  const std::string result =
      fmt::format("{} node {} duration {:.3f}", NameOf(kind), node, duration);
  if (kind == SoakEventKind::kRelayFault) {
    return result + " " + relay_fault.ToString();
  }
  return text.empty() ? result : result + " " + text;
}

}  // namespace dragonflytack
