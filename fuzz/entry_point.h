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
  // Name of the fuzz target and of the folder of its corpus.
  std::string_view name;
  // Returns small valid inputs.
  std::vector<std::string> (*seeds)();
  // Decodes `input`. Returns an empty string if the decoder returned a failure
  // with a documented code, or a value that is unchanged after it is encoded
  // and decoded again. Returns a description of the fault otherwise.
  std::string (*check)(const std::string& input);
  // Whether the decoder must accept each of the seeds.
  bool accepts_seeds = true;
};

std::span<const EntryPoint> EntryPoints();

// Returns null if there is no entry point of this name.
const EntryPoint* FindEntryPoint(std::string_view name);

// Number of check() calls in this process whose input was decoded to a value.
// Shows that inputs reach the round trip.
int& DecodedValues();

// Return the entry points of one group; EntryPoints() joins them.
std::vector<EntryPoint> FrameEntryPoints();
std::vector<EntryPoint> DocumentEntryPoints();
std::vector<EntryPoint> TextEntryPoints();
std::vector<EntryPoint> PlatformEntryPoints();

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_FUZZ_ENTRY_POINT_H_
