// Checks the pages for operators against the sources. The tests run in the root
// of the source tree.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace dragonflytack {

namespace {

using Names = std::set<std::string>;
using NamesWithKind = std::map<std::string, Names>;

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string ReadSources() {
  std::string all;
  std::vector<std::filesystem::directory_entry> entries;
  for (const char* folder : {"src", "platform"}) {
    std::copy(std::filesystem::recursive_directory_iterator(folder),
              std::filesystem::recursive_directory_iterator(),
              std::back_inserter(entries));
  }
  for (const auto& entry : entries) {
    if (entry.path().extension() == ".cc" || entry.path().extension() == ".h") {
      all += ReadFile(entry.path());
    }
  }
  return all;
}

// Calls `visit` for each match.
template <typename Visitor>
void ForEachMatch(const std::string& text, const char* pattern, Visitor visit) {
  const std::regex regex(pattern);
  for (std::sregex_iterator it(text.begin(), text.end(), regex), end; it != end;
       ++it) {
    visit(*it);
  }
}

// Returns the first two columns of the page's tables: names in back quotes and
// the words of the second column.
NamesWithKind ReadPage(const char* path) {
  NamesWithKind rows;
  ForEachMatch(ReadFile(path), R"(\n\| `([a-z_]+)` \| ([a-z, ]+) \|)",
               [&](const std::smatch& row) {
                 cr_expect(!rows.contains(row[1]), "%s is listed twice",
                           row[1].str().c_str());
                 ForEachMatch(row[2], "[a-z]+", [&](const std::smatch& word) {
                   rows[row[1]].insert(word[0]);
                 });
               });
  return rows;
}

void ExpectSame(const NamesWithKind& sources, const NamesWithKind& page) {
  cr_expect(!sources.empty());
  for (const auto& [name, kinds] : sources) {
    cr_expect(page.contains(name), "the page lacks %s", name.c_str());
    if (page.contains(name)) {
      cr_expect(page.at(name) == kinds, "%s has another type or level",
                name.c_str());
    }
  }
  for (const auto& [name, kinds] : page) {
    cr_expect(sources.contains(name), "no source has %s", name.c_str());
  }
}

}  // namespace

// Guards against metrics that are missing on the page, names that are in no
// source, and wrong types. A name without a call that creates it stands in a
// table of gauges.
Test(pages, metrics_page_names_every_metric) {
  const std::string sources = ReadSources();
  NamesWithKind found;
  ForEachMatch(sources, R"re("(dragonflytack_[a-z_]+)")re",
               [&](const std::smatch& name) { found[name[1]]; });
  ForEachMatch(
      sources,
      R"re(Get(Counter|Gauge|Histogram)\(\s*"(dragonflytack_[a-z_]+)")re",
      [&](const std::smatch& call) {
        std::string type = call[1];
        type[0] = static_cast<char>(std::tolower(type[0]));
        found[call[2]].insert(type);
      });
  for (auto& [name, types] : found) {
    if (types.empty()) {
      types.insert("gauge");
    }
  }
  ExpectSame(found, ReadPage("docs/metrics.md"));
}

// Guards against a guide that refers to metrics that do not exist.
Test(pages, operators_guide_names_known_metrics) {
  const NamesWithKind known = ReadPage("docs/metrics.md");
  int named = 0;
  ForEachMatch(ReadFile("docs/operators.md"), "dragonflytack_[a-z_]+",
               [&](const std::smatch& name) {
                 ++named;
                 cr_expect(known.contains(name[0]), "%s",
                           name[0].str().c_str());
               });
  cr_expect_gt(named, 0);
}

// Guards against log events that are missing on the page, events that are in no
// source, and wrong levels.
Test(pages, logs_page_names_every_event) {
  const std::string sources = ReadSources();
  NamesWithKind found;
  const char* const calls =
      R"re(logger_?(?:\.|->)(Info|Warning|Error|Log)\(([^"]*)"([a-z_]+)")re";
  ForEachMatch(sources, calls, [&](const std::smatch& call) {
    if (call[1] != "Log") {
      std::string level = call[1];
      level[0] = static_cast<char>(std::tolower(level[0]));
      found[call[3]].insert(level);
      return;
    }
    ForEachMatch(call[2], "LogLevel::k([A-Z][a-z]+)",
                 [&](const std::smatch& word) {
                   std::string level = word[1];
                   level[0] = static_cast<char>(std::tolower(level[0]));
                   found[call[3]].insert(level);
                 });
  });
  // The crash handler writes its line without the logger.
  ForEachMatch(
      sources, R"re("level":"([a-z]+)","event":"([a-z_]+)")re",
      [&](const std::smatch& line) { found[line[2]].insert(line[1]); });
  ExpectSame(found, ReadPage("docs/logs.md"));
}

// Guards against keys and authorization headers in logs: no logger call may
// use a value that holds one.
Test(pages, logger_calls_use_no_secrets) {
  int calls = 0;
  ForEachMatch(ReadSources(),
               R"re(logger_?(?:\.|->)(?:Info|Warning|Error|Log)\([^;]*;)re",
               [&](const std::smatch& call) {
                 ++calls;
                 const std::string code = std::regex_replace(
                     call[0].str(), std::regex(R"re("[^"]*")re"), "");
                 cr_expect(!std::regex_search(
                               code, std::regex("secret|shared_key|ToText|"
                                                "[Aa]uthorization|kKeyHeader|"
                                                "one_time_key")),
                           "%s", call[0].str().c_str());
               });
  cr_expect_gt(calls, 20);
}

}  // namespace dragonflytack
