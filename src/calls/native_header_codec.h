#ifndef DRAGONFLYTACK_SRC_CALLS_NATIVE_HEADER_CODEC_H_
#define DRAGONFLYTACK_SRC_CALLS_NATIVE_HEADER_CODEC_H_

#include "dragonflytack/calls/call_header_codec.h"

namespace dragonflytack {

// The native headers of calls, as described in docs/interfaces.md.
class NativeHeaderCodec final : public CallHeaderCodec {
 public:
  bool IsReserved(std::string_view name) const override;
  bool IsAccountHeader(std::string_view name) const override;
  CallerRequestInfo ReadCallerHeaders(const evkeyvalq* headers) const override;
  void WriteTargetHeaders(const TargetRequestInfo& info,
                          evkeyvalq* headers) const override;
  TargetResponseKind ClassifyResponse(
      const evkeyvalq* request_headers,
      int status,
      const evkeyvalq* response_headers) const override;
  TargetLoadReport ReadReportedLoad(
      const evkeyvalq* response_headers) const override;
  void WriteRetryAfter(Milliseconds after, evkeyvalq* headers) const override;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_NATIVE_HEADER_CODEC_H_
