#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "core_fleet.h"
#include "dragonflytack/base/random.h"

namespace dragonflytack {

namespace {

// Runs one random change of a node or of the table.
void ChangeSomething(CoreFleet* fleet, Random* random) {
  const auto chosen =
      std::next(fleet->nodes.begin(), random->Below(fleet->nodes.size()));
  const NodeId& id = chosen->first;
  DistributionCore* const core = chosen->second.core.get();
  switch (random->Below(8)) {
    case 0:
      fleet->WriteTable({"roster", "grades"}, 1 + random->Below(100));
      return;
    case 1:
      if (core != nullptr) {
        fleet->Crash(id);
      } else {
        fleet->Boot(id);
      }
      return;
    case 2:
      if (core != nullptr) {
        core->BeginDrain();
        core->AnnounceSuccessor(fleet->nodes.begin()->first);
      }
      return;
    default:
      if (core != nullptr) {
        core->SetTarget(
            "roster",
            random->Below(2) == 0 ? TargetState::kReady : TargetState::kWarming,
            1 + random->Below(8));
      }
  }
}

}  // namespace

// Guards against the use of a link's state after the link has ended, at every
// place that sends. Runs under AddressSanitizer in CI.
Test(link_end_fleet, fleet_survives_links_that_end_on_any_send) {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    CoreFleet fleet(seed);
    Random random(seed);
    fleet.WriteTable({"roster"});
    fleet.StartMany({"north1", "north2", "south1", "south2"}, 4);
    fleet.Run(Milliseconds(2'000));
    fleet.network.jitter = Milliseconds(20);
    fleet.network.end_on_send = 0.05;
    for (int i = 0; i < 150; ++i) {
      ChangeSomething(&fleet, &random);
      fleet.Run(Milliseconds(5 + random.Below(100)));
    }
    fleet.network.end_on_send = 0;
    for (auto& [id, node] : fleet.nodes) {
      if (node.core == nullptr) {
        fleet.Boot(id);
      }
    }
    const TableVersion last = fleet.WriteTable({"roster", "last"});
    cr_assert(fleet.RunUntil(Milliseconds(60'000),
                             [&] {
                               return fleet.AllHaveVersion(last) &&
                                      fleet.AllHaveNodes(fleet.nodes.size());
                             }),
              "seed %lu", seed);
  }
}

}  // namespace dragonflytack
