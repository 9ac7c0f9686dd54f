#include "calls/load_report_forwarder.h"

#include <sys/queue.h>
#include <string>
#include <vector>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <criterion/criterion.h>

#include "calls/call_context.h"
#include "calls/call_metrics.h"
#include "calls/http_headers.h"
#include "calls/native_header_codec.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/manual_clock.h"
#include "dragonflytack/calls/local_target.h"
#include "dragonflytack/observe/metrics_registry.h"
#include "output_pipe.h"

namespace dragonflytack {

// Guards against load reports in an unknown form that are ignored without a
// trace, or that are logged for each call.
Test(load_report_forwarder, invalid_reports_are_counted_and_logged_once) {
  ManualClock clock;
  Logger logger(&clock, LogLevel::kInfo, "");
  MetricsRegistry registry;
  CallMetrics metrics(&registry);
  const NativeHeaderCodec codec;
  CallContext context;
  context.logger = &logger;
  context.metrics = &metrics;
  context.header_codec = &codec;
  LoadReportForwarder forwarder(&context);
  LocalTarget target;
  target.service = "roster";
  std::vector<std::string> forwarded;
  std::vector<std::string> lines;
  {
    OutputPipe output;
    for (const char* instance : {"i-1", "i-2"}) {
      target.instance = instance;
      for (const char* report : {"3;0;8", "3,0,8", "3,0", "0.5", ""}) {
        evkeyvalq in;
        evkeyvalq out;
        TAILQ_INIT(&in);
        TAILQ_INIT(&out);
        evhttp_add_header(&in, kLoadHeader, report);
        forwarder.Forward(target, &in, &out);
        forwarded.emplace_back(FindHeader(&out, kLoadHeader));
        evhttp_clear_headers(&in);
        evhttp_clear_headers(&out);
      }
    }
    lines = output.TakeLines();
  }
  const std::vector<std::string> expected = {"", "3,0,8,100", "", "500", ""};
  for (size_t i = 0; i < forwarded.size(); ++i) {
    cr_expect(forwarded[i] == expected[i % expected.size()], "%zu: %s", i,
              forwarded[i].c_str());
  }
  cr_assert_eq(lines.size(), 2);
  cr_expect(lines[0].find("load_report_invalid") != std::string::npos &&
                lines[0].find("a figure is not a number") != std::string::npos,
            "%s", lines[0].c_str());
  cr_expect(registry.RenderText().find(
                "dragonflytack_invalid_load_reports_total 4") !=
            std::string::npos);
}

}  // namespace dragonflytack
