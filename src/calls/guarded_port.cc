#include "calls/guarded_port.h"

#include <sys/queue.h>

#include <utility>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

#include "calls/call_result.h"
#include "calls/http_headers.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/calls/call_header_codec.h"
#include "dragonflytack/observe/metrics_registry.h"

namespace dragonflytack {

namespace {

// A connection that was dropped for lack of memory had a large or slow request.
// The time to send it again elsewhere is longer than this.
constexpr Milliseconds kRetryAfter{1000};

}  // namespace

InputLedger::Limits InputLimits(const Settings& settings) {
  return {.head_timeout = Milliseconds(settings.head_timeout_ms),
          .body_timeout = Milliseconds(settings.body_timeout_ms)};
}

std::unique_ptr<InputGuard> MakeInputGuard(EventLoop* loop,
                                           InputLedger* ledger,
                                           InputGuard::Options options,
                                           const std::string& port,
                                           Logger* logger,
                                           MetricsRegistry* metrics) {
  return std::make_unique<InputGuard>(
      loop, ledger, std::move(options),
      [ledger, port, logger, metrics](const InputGuard::Dropped& dropped) {
        const std::string cause = DropCauseName(dropped.cause);
        metrics
            ->GetCounter("dragonflytack_dropped_connections_total",
                         "Connections that exceeded a limit on input",
                         {{"port", port}, {"cause", cause}})
            ->Add();
        logger->Warning("input_dropped",
                        {{"port", port},
                         {"cause", cause},
                         {"peer", dropped.peer},
                         {"bytes", uint64_t{dropped.bytes}},
                         {"buffered", uint64_t{ledger->budget()->held()}}});
      });
}

std::string RefusalHeaders(const CallHeaderCodec& header_codec) {
  evkeyvalq headers;
  TAILQ_INIT(&headers);
  evhttp_add_header(&headers, kOutcomeHeader,
                    CallOutcomeName(CallOutcome::kNotRun).data());
  evhttp_add_header(&headers, kReasonHeader,
                    CallReasonName(CallReason::kOverloaded).data());
  // A one-time key in the request is still valid.
  evhttp_add_header(&headers, kScopeHeader, "request");
  evhttp_add_header(&headers, kNotRunHeader, "1");
  header_codec.WriteRetryAfter(kRetryAfter, &headers);
  std::string text;
  for (const evkeyval* item = headers.tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    text += fmt::format("{}: {}\r\n", item->key, item->value);
  }
  evhttp_clear_headers(&headers);
  return text;
}

}  // namespace dragonflytack
