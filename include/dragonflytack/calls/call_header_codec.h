#ifndef DRAGONFLYTACK_CALLS_CALL_HEADER_CODEC_H_
#define DRAGONFLYTACK_CALLS_CALL_HEADER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "dragonflytack/base/clock.h"

struct evkeyvalq;

namespace dragonflytack {

// What a caller's headers say about its call.
struct CallerRequestInfo final {
  // How long the caller waits; nothing when it does not say.
  std::optional<Milliseconds> time_left;
  // A header that the dialect reads is malformed.
  bool malformed = false;
  // The caller's name for the call, for logs; may be empty.
  std::string call_id;
};

// What a target is told about a call.
struct TargetRequestInfo final {
  Milliseconds time_left{0};
  // Service of the target beside the node where the call began; empty when the
  // node has none.
  std::string caller_service;
  // The target that is meant, as it announced itself; may be empty.
  std::string target_instance;
};

// What the headers of a target's answer say.
enum class TargetResponseKind {
  // The answer belongs to the call.
  kResponse,
  // The target did not run the call and will not: it is full or stops.
  kNotRun,
  // Another target has the address; it did not run the call.
  kWrongTarget,
  // The answer belongs to another call or is not one of the target.
  kMismatched,
};

// The headers in which callers, nodes and targets speak about calls. The
// headers between nodes are the project's own, whatever the dialect.
class CallHeaderCodec {
 public:
  virtual ~CallHeaderCodec() = default;

  // Whether a header of a caller or target is read or written by the dialect
  // and therefore not passed on.
  virtual bool IsReserved(std::string_view name) const = 0;

  virtual CallerRequestInfo ReadCallerHeaders(
      const evkeyvalq* headers) const = 0;

  virtual void WriteTargetHeaders(const TargetRequestInfo& terms,
                                  evkeyvalq* headers) const = 0;

  // Reads the headers of an answer with the given status. `call` are the
  // headers of the call as it came to the node beside the target.
  virtual TargetResponseKind ClassifyResponse(
      const evkeyvalq* call,
      int status,
      const evkeyvalq* response) const = 0;

  // The load that an answer reports, as a share of what the target can take (0
  // to 1); nothing when there is none.
  virtual std::optional<double> ReadReportedLoad(
      const evkeyvalq* response) const = 0;

  // Tells the caller of a call that was not run when to come back.
  virtual void WriteRetryAfter(Milliseconds after,
                               evkeyvalq* headers) const = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CALLS_CALL_HEADER_CODEC_H_
