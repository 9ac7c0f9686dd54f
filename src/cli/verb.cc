#include "cli/verb.h"

#include <array>
#include <limits>

namespace dragonflytack {

namespace {

constexpr size_t kUnlimited = std::numeric_limits<size_t>::max();

constexpr std::array<VerbEntry, 13> kVerbs = {{
    {"import", "FILE", "make a sheet equal to a CSV file (- for input)", 1, 1,
     MakeImportVerb},
    {"export", "", "write a sheet of the table as CSV", 0, 0, MakeExportVerb},
    {"show", "[ROW]", "show a sheet of the table or one row", 0, 1,
     MakeShowVerb},
    {"set", "ROW COLUMN VALUE", "set one cell", 3, 3, MakeSetVerb},
    {"add", "ROW [COLUMN=VALUE...]", "add a row", 1, kUnlimited, MakeAddVerb},
    {"remove", "ROW", "remove a row", 1, 1, MakeRemoveVerb},
    {"history", "[ROW]", "show who changed what and when", 0, 1,
     MakeHistoryVerb},
    {"diff", "FILE", "show what an import of a CSV file would change", 1, 1,
     MakeDiffVerb},
    {"status", "",
     "show which nodes have which version in force, and the roll-outs", 0, 0,
     MakeStatusVerb},
    {"rollout", "[SERVICE [RELEASE SECONDS]]",
     "show the orders of roll-outs, or start one", 0, 3, MakeRolloutVerb},
    {"explain", "SERVICE|HOST/PATH",
     "show why each endpoint of a service gets calls or not, or which route a "
     "call takes",
     1, 1, MakeExplainVerb},
    {"trace", "ID", "show the spans of a traced call", 1, 1, MakeTraceVerb},
    {"request", "ID LOG...",
     "show the lines of a request from the logs of several nodes", 2,
     kUnlimited, MakeRequestVerb},
}};

}  // namespace

std::span<const VerbEntry> Verbs() {
  return kVerbs;
}

}  // namespace dragonflytack
