#ifndef DRAGONFLYTACK_SRC_CALLS_HTTP_HEADERS_H_
#define DRAGONFLYTACK_SRC_CALLS_HTTP_HEADERS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

struct evkeyvalq;

namespace dragonflytack {

// Headers of calls. The first group is for callers, the second is used between
// nodes only and is neither taken from callers nor passed to them.
inline constexpr char kServiceHeader[] = "x-service";
inline constexpr char kDeadlineHeader[] = "x-deadline-ms";
// Between nodes: time left to the latency objective in ms, and the rank of the
// route. Left out where the objective is the deadline and the rank is 0.
inline constexpr char kObjectiveHeader[] = "x-objective";
inline constexpr char kRankHeader[] = "x-rank";
inline constexpr char kKeyHeader[] = "idempotency-key";
inline constexpr char kTraceHeader[] = "traceparent";
inline constexpr char kOutcomeHeader[] = "x-outcome";
inline constexpr char kReasonHeader[] = "x-reason";
inline constexpr char kRetriedHeader[] = "x-retried";
// What "not-run" speaks about: "key" or "request".
inline constexpr char kScopeHeader[] = "x-not-run-scope";

// Number of the attempt among those that may have reached a target.
inline constexpr char kAttemptHeader[] = "x-attempt";
// Service of the target that made the call.
inline constexpr char kCallerHeader[] = "x-caller-service";
// "1" on a refusal of a call that reached its target, which did not run it.
inline constexpr char kReachedHeader[] = "x-reached-target";
// Milliseconds after which a refused call may be tried again.
inline constexpr char kRetryAfterHeader[] = "x-come-back-ms";
inline constexpr char kNotRunHeader[] = "x-not-run";
// The handed-out key of a call that is forwarded to its home.
inline constexpr char kOneTimeKeyHeader[] = "x-one-time-key";
// The node that answers for the key now.
inline constexpr char kMovedHeader[] = "x-moved-to";
// AttemptId of a one-time call.
inline constexpr char kAttemptIdHeader[] = "x-attempt-id";
inline constexpr char kLoadHeader[] = "x-load";
// Calls running and waiting at the node beside the target, in thousandths of
// its slots.
inline constexpr char kOccupancyHeader[] = "x-occupancy";
// Microseconds that the target took, for the measure of the added time.
inline constexpr char kTargetTimeHeader[] = "x-target-us";

inline constexpr size_t kMaxBodyBytes = 4 << 20;
inline constexpr size_t kMaxHeaderBytes = 64 << 10;

// Returns the value of a header, empty when it is missing.
std::string_view FindHeader(const evkeyvalq* headers, const char* name);

// Returns whether a comma-separated list names `name`, whatever the case.
bool ListNames(std::string_view list, std::string_view name);

// Returns a header's whole value as a number from 0 up, nothing when it is
// missing or malformed.
std::optional<int64_t> FindNumber(const evkeyvalq* headers, const char* name);

void AddHeader(evkeyvalq* headers, const char* name, int64_t number);

// Adds the header Host, which HTTP/1.1 requires, unless it was copied.
void AddHostIfMissing(evkeyvalq* headers, const char* host);

class CallHeaderCodec;

// Copies the headers that go from one end of a call to the other. Left out are
// hop-by-hop headers (RFC 9110 section 7.6.1, those named by Connection
// included), Content-Length, the headers that nodes write themselves, and those
// that the dialect reads or writes.
void CopyEndToEndHeaders(const CallHeaderCodec& header_codec,
                         const evkeyvalq* from,
                         evkeyvalq* to);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_HTTP_HEADERS_H_
