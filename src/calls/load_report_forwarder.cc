#include "calls/load_report_forwarder.h"

#include <event2/http.h>

#include "calls/call_context.h"
#include "calls/call_metrics.h"
#include "calls/http_headers.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/calls/call_header_codec.h"
#include "dragonflytack/calls/local_target.h"

namespace dragonflytack {

void LoadReportForwarder::Forward(const LocalTarget& target,
                                  const evkeyvalq* target_response,
                                  evkeyvalq* node_response) {
  const TargetLoadReport report =
      context_->header_codec->ReadReportedLoad(target_response);
  if (report.load) {
    evhttp_add_header(node_response, kLoadHeader,
                      report.load->ToHeader().c_str());
  }
  if (report.error.empty()) {
    return;
  }
  context_->metrics->invalid_load_reports()->Add();
  if (logged_service_ == target.service &&
      logged_instance_ == target.instance) {
    return;
  }
  logged_service_ = target.service;
  logged_instance_ = target.instance;
  context_->logger->Warning("load_report_invalid",
                            {{"service", target.service},
                             {"instance", target.instance},
                             {"reason", std::string(report.error)}});
}

}  // namespace dragonflytack
