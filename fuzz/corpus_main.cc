#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

#include "fuzz/entry_point.h"

// Writes the seeds of each entry point to DIRECTORY/<entry point>/ and prints
// the names of the entry points.
int main(int argc, char** argv) {
  namespace fs = std::filesystem;
  if (argc != 2) {
    std::fputs("usage: fuzz_corpus DIRECTORY\n", stderr);
    return 2;
  }
  for (const dragonflytack::EntryPoint& entry_point :
       dragonflytack::EntryPoints()) {
    const fs::path folder = fs::path(argv[1]) / entry_point.name;
    std::error_code error;
    fs::create_directories(folder, error);
    int number = 0;
    for (const std::string& seed : entry_point.seeds()) {
      std::ofstream file(folder / ("seed-" + std::to_string(number++)),
                         std::ios::binary);
      file << seed;
      file.close();
      if (!file) {
        std::fprintf(stderr, "%s cannot be written\n", folder.c_str());
        return 1;
      }
    }
    std::printf("%s\n", std::string(entry_point.name).c_str());
  }
  return 0;
}
