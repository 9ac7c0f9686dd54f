#ifndef DRAGONFLYTACK_TESTS_TOOL_FIXTURE_H_
#define DRAGONFLYTACK_TESTS_TOOL_FIXTURE_H_

#include <unistd.h>

#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "cli/tool.h"
#include "fake_node.h"
#include "store_standin_fixture.h"

namespace dragonflytack {

// Creates an empty file and returns its path.
inline std::string MakeTemporaryFile() {
  std::string path = "/tmp/dragonflytack_test_XXXXXX";
  const int file = mkstemp(path.data());
  cr_assert_geq(file, 0);
  close(file);
  return path;
}

// Runs commands of the tool with a store that has a service "roster", and with
// two nodes.
struct ToolFixture final {
  ToolFixture() {
    Run({"add", "roster", "kind=idempotent", "--author", "ana"});
    node.responses["/nodes"] =
        nlohmann::json::array({node.Record("n1", "ready", "alive"),
                               other.Record("n2", "warming", "suspect"),
                               other.Record("n3", "ready", "dead"),
                               other.Record("n4", "left", "alive")});
    SetVersion(&node, 1);
    SetVersion(&other, 1);
  }

  static void SetVersion(FakeNode* node, int version) {
    node->responses["/status"] = {
        {"node", "x"}, {"version", version}, {"refused", nullptr}};
  }

  // Runs a command and returns its exit code. Stores standard output and error
  // in `out` and `err`.
  int Run(std::vector<std::string> arguments) {
    std::ostringstream out_stream;
    std::ostringstream err_stream;
    Tool tool(
        store.loop.get(),
        [&](const char* name) {
          const std::string variable = name;
          return variable == "DRAGONFLYTACK_STORE"
                     ? store.standin->address().ToString()
                 : variable == "DRAGONFLYTACK_NODE" ? node.address().ToString()
                                                    : std::string();
        },
        &out_stream, &err_stream);
    const int code = static_cast<int>(tool.Run(arguments));
    out = out_stream.str();
    err = err_stream.str();
    return code;
  }

  bool OutputContains(const std::string& text) const {
    return out.find(text) != std::string::npos ||
           err.find(text) != std::string::npos;
  }

  StoreStandinFixture store;
  FakeNode node{store.loop.get()};
  FakeNode other{store.loop.get()};
  std::string out;
  std::string err;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_TOOL_FIXTURE_H_
