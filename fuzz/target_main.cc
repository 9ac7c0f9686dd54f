#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "fuzz/entry_point.h"

// A libFuzzer target for the entry point FUZZ_ENTRY_POINT, which the build
// defines.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using dragonflytack::EntryPoint;
  static const EntryPoint* const entry_point =
      dragonflytack::FindEntryPoint(FUZZ_ENTRY_POINT);
  const std::string problem =
      entry_point == nullptr ? "there is no such entry point"
                             : entry_point->check(std::string(
                                   reinterpret_cast<const char*>(data), size));
  if (!problem.empty()) {
    // libFuzzer writes the input to a file when the process aborts.
    std::fprintf(stderr, "%s: %s\n", FUZZ_ENTRY_POINT, problem.c_str());
    std::abort();
  }
  return 0;
}
