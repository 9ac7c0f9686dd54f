#ifndef DRAGONFLYTACK_SRC_CALLS_HTTP_HEADERS_H_
#define DRAGONFLYTACK_SRC_CALLS_HTTP_HEADERS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

struct evkeyvalq;

namespace dragonflytack {

// Headers of calls. The first group is for callers. The second group is used
// between nodes only; it is neither accepted from callers nor sent to them.
inline constexpr char kServiceHeader[] = "x-service";
inline constexpr char kDeadlineHeader[] = "x-deadline-ms";
// Between nodes: remaining time to the latency objective in ms, and the rank of
// the route. Omitted if the objective is the deadline, or the rank is 0.
inline constexpr char kObjectiveHeader[] = "x-objective";
inline constexpr char kRankHeader[] = "x-rank";
inline constexpr char kKeyHeader[] = "idempotency-key";
inline constexpr char kTraceHeader[] = "traceparent";
inline constexpr char kOutcomeHeader[] = "x-outcome";
inline constexpr char kReasonHeader[] = "x-reason";
inline constexpr char kRetriedHeader[] = "x-retried";
// Whether the outcome "not-run" holds for the "key" or only for the "request".
inline constexpr char kScopeHeader[] = "x-not-run-scope";

// Number of the attempt, counting only attempts that may have reached a target.
inline constexpr char kAttemptHeader[] = "x-attempt";
// Client account of the caller, if the call needs an API key.
inline constexpr char kAccountHeader[] = "x-account";
// Service of the target that made the call.
inline constexpr char kCallerHeader[] = "x-caller-service";
// "1" if the call reached its target, but the target did not run it.
inline constexpr char kReachedHeader[] = "x-reached-target";
// Milliseconds after which a refused call may be sent again.
inline constexpr char kRetryAfterHeader[] = "x-come-back-ms";
// "1" if the attempt was not run and will not be run.
inline constexpr char kNotRunHeader[] = "x-not-run";
// Issued key of a one-time call that is forwarded to the owner of the key. The
// response of the owner repeats it.
inline constexpr char kOneTimeKeyHeader[] = "x-one-time-key";
// The node that owns the key now.
inline constexpr char kMovedHeader[] = "x-moved-to";
// AttemptId of a one-time call. The response to the attempt repeats it.
inline constexpr char kAttemptIdHeader[] = "x-attempt-id";
// Load that the target reports. From a target: its share of the capacity, or
// the figures of TargetLoad. Between nodes: see TargetLoad::ToHeader().
inline constexpr char kLoadHeader[] = "x-load";
// Calls running and waiting at the node beside the target, in thousandths of
// its slots.
inline constexpr char kOccupancyHeader[] = "x-occupancy";
// Processing time of the target in microseconds. It is subtracted from the time
// of the call to obtain the time that the mesh adds.
inline constexpr char kTargetTimeHeader[] = "x-target-us";

inline constexpr size_t kMaxBodyBytes = 4 << 20;
inline constexpr size_t kMaxHeaderBytes = 64 << 10;

// Returns the value of a header, empty if it is missing.
std::string_view FindHeader(const evkeyvalq* headers, const char* name);

// Returns whether a header occurs more than once with different values.
bool HasSeveralValues(const evkeyvalq* headers, const char* name);

// Returns the value of a header, empty if it is missing or given with different
// values.
std::string_view FindSingleHeader(const evkeyvalq* headers, const char* name);

// Compares names of headers, ignoring case.
bool IsHeaderName(std::string_view name, std::string_view other);

// Returns whether a comma-separated list contains `name`, ignoring case.
bool ListContains(std::string_view list, std::string_view name);

// Parses the complete value of a header as a non-negative integer. Returns
// std::nullopt if the header is missing or malformed.
std::optional<int64_t> FindNumber(const evkeyvalq* headers, const char* name);

void AddHeader(evkeyvalq* headers, const char* name, int64_t number);

// Adds the header Host, which HTTP/1.1 requires, unless it was copied.
void AddHostIfMissing(evkeyvalq* headers, const char* host);

class CallHeaderCodec;

// Whether the headers of the header codec for API keys and accounts are copied.
// They are ordinary headers where the table has no accounts.
enum class AccountHeaders { kCopy, kOmit };

// Copies the end-to-end headers of a call. Omits hop-by-hop headers (RFC 9110
// section 7.6.1, including those named by Connection), Content-Length, the
// headers that nodes write themselves, and those reserved by the header codec.
void CopyEndToEndHeaders(
    const CallHeaderCodec& header_codec,
    const evkeyvalq* from,
    evkeyvalq* to,
    AccountHeaders account_headers = AccountHeaders::kCopy);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_HTTP_HEADERS_H_
