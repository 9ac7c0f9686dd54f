#ifndef DRAGONFLYTACK_CALLS_CALL_HEADER_CODEC_H_
#define DRAGONFLYTACK_CALLS_CALL_HEADER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/routing/target_load_report.h"

struct evkeyvalq;

namespace dragonflytack {

// Information about a call from the headers of its caller.
struct CallerRequestInfo final {
  // Time to the caller's deadline; std::nullopt if the header is missing.
  std::optional<Milliseconds> time_left;
  // A header that the codec reads is malformed.
  bool malformed = false;
  // Identifier that the caller gave the call, for logs; may be empty.
  std::string call_id;
  // API key of the caller's account; empty if the header is missing or given
  // with different values. Points into the headers.
  std::string_view api_key;
};

// Information about a call that is sent to its target.
struct TargetRequestInfo final {
  Milliseconds time_left{0};
  // Service of the target beside the entry node of the call; empty if that node
  // has none.
  std::string caller_service;
  // Instance name that the addressed target announced; may be empty.
  std::string target_instance;
  // Client account of the caller; empty if the call needs no API key.
  std::string account;
};

// Classification of a target's response by its headers.
enum class TargetResponseKind {
  // The response belongs to the call.
  kResponse,
  // The target did not run the call and will not run it, because it is full or
  // stopping.
  kNotRun,
  // Another target uses the address; it did not run the call.
  kWrongTarget,
  // The response belongs to another call, or the target did not send it.
  kMismatched,
};

// Reads and writes the headers of calls that are exchanged with callers and
// targets. The headers between nodes do not depend on the codec.
class CallHeaderCodec {
 public:
  virtual ~CallHeaderCodec() = default;

  // Returns whether the codec reads or writes a header of callers or targets,
  // so that it is not forwarded.
  virtual bool IsReserved(std::string_view name) const = 0;

  // Returns whether callers send their API key in this header, or targets get
  // the account of the caller in it. Such headers are not forwarded where the
  // table has accounts.
  virtual bool IsAccountHeader(std::string_view name) const = 0;

  virtual CallerRequestInfo ReadCallerHeaders(
      const evkeyvalq* headers) const = 0;

  virtual void WriteTargetHeaders(const TargetRequestInfo& info,
                                  evkeyvalq* headers) const = 0;

  // Classifies a response with the given status. `request_headers` are the
  // headers with which the call arrived at the node beside the target.
  virtual TargetResponseKind ClassifyResponse(
      const evkeyvalq* request_headers,
      int status,
      const evkeyvalq* response_headers) const = 0;

  // Returns the load that a response reports of its target.
  virtual TargetLoadReport ReadReportedLoad(
      const evkeyvalq* response_headers) const = 0;

  // Writes after which time the caller may retry a call that was not run.
  virtual void WriteRetryAfter(Milliseconds after,
                               evkeyvalq* headers) const = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CALLS_CALL_HEADER_CODEC_H_
