#ifndef TOOLS_SOAK_DRIVER_STARVATION_WATCH_H_
#define TOOLS_SOAK_DRIVER_STARVATION_WATCH_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <sys/types.h>

#include "soak_driver/call_record.h"

namespace dragonflytack {

// Records, as the kernel counts it, how long the threads of the run's processes
// waited for a processor while they were ready to run, and how long no process
// of the machine got on for lack of memory or of disk transfers. These waits
// are the machine's doing, not the program's: a thread that computes, or blocks
// on anything else, does not wait in this sense.
class StarvationWatch final {
 public:
  struct Wait {
    // Who waited for what.
    std::string cause;
    double seconds = 0;
  };

  // Reads the counters of the processes, by names for messages. Should be
  // called several times a second.
  void Sample(const std::vector<std::pair<std::string, pid_t>>& processes);

  // Returns the longest wait, of one thread or of the machine, between the two
  // times, to the accuracy of the samples.
  Wait LongestWait(SoakTime from, SoakTime to) const;

 private:
  // A wait that a counter showed between two samples.
  struct Sampled {
    std::string cause;
    pid_t counter;
    SoakTime from;
    SoakTime to;
    double seconds;
  };

  void SampleCounter(const std::string& cause,
                     pid_t counter,
                     double waited,
                     SoakTime now,
                     std::map<pid_t, double>* counters);

  std::optional<SoakTime> last_sample_;
  // Counters of the last sample in seconds, by thread. Those of the machine
  // have negative ids.
  std::map<pid_t, double> counters_;
  std::vector<Sampled> waits_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_STARVATION_WATCH_H_
