#ifndef DRAGONFLYTACK_FUZZ_ENTRY_POINT_H_
#define DRAGONFLYTACK_FUZZ_ENTRY_POINT_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflytack {

// A decoder that takes input from outside the process. The seeded tests and the
// coverage-guided targets run the same entry points.
struct EntryPoint final {
  // Names the target, the folder of its corpus and its test.
  std::string_view name;
  // Returns small valid inputs.
  std::vector<std::string> (*seeds)();
  // Decodes `input`. Returns what was wrong, empty when the decoder gave a
  // typed failure, or a value that survives being encoded and decoded again.
  std::string (*check)(const std::string& input);
  // Whether the decoder must accept each of the seeds.
  bool accepts_seeds = true;
};

std::span<const EntryPoint> EntryPoints();

// Returns null when there is none of this name.
const EntryPoint* FindEntryPoint(std::string_view name);

// How often check() met a value rather than a failure, in this process. Shows
// that an input did reach the round trip.
int& DecodedValues();

// Lists of the modules; EntryPoints() joins them.
std::vector<EntryPoint> FrameEntryPoints();
std::vector<EntryPoint> DocumentEntryPoints();
std::vector<EntryPoint> TextEntryPoints();

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_FUZZ_ENTRY_POINT_H_
