#ifndef TOOLS_SUPPORT_LOAD_GENERATOR_H_
#define TOOLS_SUPPORT_LOAD_GENERATOR_H_

#include <functional>
#include <memory>

#include "support/load_plan.h"
#include "support/load_result.h"

namespace dragonflytack {

// Sends the calls of a plan from one thread over kept connections and judges
// each answer by the request id that the target stand-in echoes.
class LoadGenerator final {
 public:
  explicit LoadGenerator(LoadPlan plan);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Returns when each call has ended or counts as hung. May be called once.
  LoadResult Run();

  // Ends the sending early. May be called from another thread.
  void StopSending();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_LOAD_GENERATOR_H_
