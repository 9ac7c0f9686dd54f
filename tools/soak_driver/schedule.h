#ifndef TOOLS_SOAK_DRIVER_SCHEDULE_H_
#define TOOLS_SOAK_DRIVER_SCHEDULE_H_

#include <cstdint>
#include <vector>

#include "dragonflytack/base/random.h"
#include "soak_driver/soak_event.h"
#include "soak_driver/soak_options.h"

namespace dragonflytack {

// Draws the faults of a soak run. The same arguments give the same events. One
// seed in three has planned stops and edits only, which callers must not
// notice.
class Schedule final {
 public:
  // Draws for the seed, the number of nodes and the seconds of the options, in
  // which faults begin. The events that further options add do not change the
  // others.
  explicit Schedule(const SoakOptions& options);

  // Returns the events in the order of their times.
  std::vector<SoakEvent> Draw();

  // Whether the events are planned stops and edits only.
  bool stops_only() const { return stops_only_; }

 private:
  void AddPlannedStops(double at);
  void AddKills(double at);
  void AddPauses(double at);
  void AddTargetSwitch(double at);
  void AddStoreFault(double at);
  void AddEdits(double at);
  void AddRelayFault(double at);
  // Lets three nodes get a table version that the others have not seen, then
  // kills them and starts them again while only the others can be reached.
  void AddStalePeers(double at);
  // Adds returns of the store, drawn from a generator of their own. One in
  // three is followed by another one within a second.
  void AddStoreReturns();

  double Between(double low, double high);
  int Node() { return static_cast<int>(random_.Below(nodes_)); }
  // Returns a random set of `count` nodes.
  std::vector<int> Nodes(int count);

  Random random_;
  Random store_return_random_;
  const int nodes_;
  const double seconds_;
  const bool connection_faults_;
  const bool stale_peers_;
  const bool store_returns_;
  const bool stops_only_;
  std::vector<SoakEvent> events_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_SCHEDULE_H_
