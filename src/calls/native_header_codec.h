#ifndef DRAGONFLYTACK_SRC_CALLS_OWN_DIALECT_H_
#define DRAGONFLYTACK_SRC_CALLS_OWN_DIALECT_H_

#include "dragonflytack/calls/call_header_codec.h"

namespace dragonflytack {

// The headers of docs/interfaces.md.
class NativeHeaderCodec final : public CallHeaderCodec {
 public:
  bool IsReserved(std::string_view name) const override;
  CallerRequestInfo ReadCallerHeaders(const evkeyvalq* headers) const override;
  void WriteTargetHeaders(const TargetRequestInfo& terms,
                          evkeyvalq* headers) const override;
  TargetResponseKind ClassifyResponse(const evkeyvalq* call,
                                      int status,
                                      const evkeyvalq* response) const override;
  std::optional<double> ReadReportedLoad(
      const evkeyvalq* response) const override;
  void WriteRetryAfter(Milliseconds after, evkeyvalq* headers) const override;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_OWN_DIALECT_H_
