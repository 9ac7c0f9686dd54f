#ifndef DRAGONFLYTACK_OBSERVE_SPAN_H_
#define DRAGONFLYTACK_OBSERVE_SPAN_H_

#include <cstdint>
#include <string>

#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

// One step of a call. `name` is "entry", "queue", "attempt" or "target".
struct Span final {
  std::string trace_id;
  std::string span_id;
  std::string parent_id;
  std::string name;
  std::string node;
  std::string service;
  // Id of the node beside the target of an attempt; empty if there is none.
  std::string target;
  int attempt = 0;
  // Value of the header x-outcome, or the reason of a refusal.
  std::string outcome;
  TableVersion table_version = 0;
  // Microseconds since the Unix epoch.
  int64_t start_us = 0;
  int64_t end_us = 0;

  friend bool operator==(const Span&, const Span&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_OBSERVE_SPAN_H_
