#ifndef DRAGONFLYTACK_SRC_CALLS_OWN_DIALECT_H_
#define DRAGONFLYTACK_SRC_CALLS_OWN_DIALECT_H_

#include "dragonflytack/calls/call_dialect.h"

namespace dragonflytack {

// The headers of docs/interfaces.md.
class OwnDialect final : public CallDialect {
 public:
  bool IsReserved(std::string_view name) const override;
  CallerTerms ReadCaller(const evkeyvalq* headers) const override;
  void WriteToTarget(const TargetTerms& terms,
                     evkeyvalq* headers) const override;
  TargetVerdict JudgeAnswer(const evkeyvalq* call,
                            int status,
                            const evkeyvalq* answer) const override;
  std::optional<double> ReadLoad(const evkeyvalq* answer) const override;
  void WriteComeBack(Milliseconds after, evkeyvalq* headers) const override;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_OWN_DIALECT_H_
