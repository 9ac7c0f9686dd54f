#ifndef TOOLS_SUPPORT_LOAD_GENERATOR_H_
#define TOOLS_SUPPORT_LOAD_GENERATOR_H_

#include <functional>
#include <memory>

#include "support/load_plan.h"
#include "support/load_result.h"

namespace dragonflytack {

// Sends the calls of a plan from one thread over persistent connections and
// verifies each response by the request id that the target stand-in echoes.
class LoadGenerator final {
 public:
  explicit LoadGenerator(LoadPlan plan);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Sends the calls and returns when each has finished or counts as hung. May
  // be called only once.
  LoadResult Run();

  // Stops sending early. May be called from another thread.
  void StopSending();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_LOAD_GENERATOR_H_
