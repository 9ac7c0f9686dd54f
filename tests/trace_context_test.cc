#include "dragonflytack/observe/trace_context.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace dragonflytack {

Test(trace_context, reads_back_what_it_writes) {
  const TraceContext context{"0af7651916cd43dd8448eb211c80319c",
                             "b7ad6b7169203331", true};
  cr_assert(TraceContext::Parse(context.ToHeader()) == context);
}

// Guards against malformed headers of callers that are forwarded or crash the
// parser.
Test(trace_context, rejects_malformed_headers) {
  const std::vector<std::string> cases = {
      "",
      "00",
      "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
      "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
      "00-00000000000000000000000000000000-b7ad6b7169203331-01",
      "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0g",
      "00-0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331-01",
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x",
  };
  for (const std::string& header : cases) {
    cr_assert(!TraceContext::Parse(header).has_value(), "%s", header.c_str());
  }
}

}  // namespace dragonflytack
