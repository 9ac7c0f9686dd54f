#include "fuzz/entry_point.h"

#include <algorithm>

namespace dragonflytack {

std::span<const EntryPoint> EntryPoints() {
  static const std::vector<EntryPoint> entry_points = [] {
    std::vector<EntryPoint> all = FrameEntryPoints();
    for (const auto& list :
         {DocumentEntryPoints(), TextEntryPoints(), PlatformEntryPoints()}) {
      all.insert(all.end(), list.begin(), list.end());
    }
    return all;
  }();
  return entry_points;
}

const EntryPoint* FindEntryPoint(std::string_view name) {
  const std::span<const EntryPoint> all = EntryPoints();
  const auto found =
      std::find_if(all.begin(), all.end(),
                   [name](const EntryPoint& e) { return e.name == name; });
  return found == all.end() ? nullptr : &*found;
}

int& DecodedValues() {
  static int values = 0;
  return values;
}

}  // namespace dragonflytack
