#include <functional>
#include <memory>
#include <vector>

#include <criterion/criterion.h>

#include "core_fleet.h"

namespace dragonflytack {

// Guards against a core that sends or publishes outdated state if the receiver
// of the routes changes the record of the node before it returns, as the
// control task does, and against routes that are reported in another order than
// they were made.
Test(distribution_callback, receiver_of_routes_may_change_the_record) {
  CoreFleet fleet;
  fleet.WriteTable({"roster"});
  fleet.Start("a", "north1");
  fleet.Run(Milliseconds(3'000));
  DistributionCore& core = *fleet.Start("b", "north1").core;
  const std::vector<std::function<void()>> changes = {
      [&core] { core.SetTarget("roster", TargetState::kReady, 3); },
      [&core] { core.SetTarget("roster", TargetState::kReady, 4); },
      [&core] { core.AnnounceTakeover("c", 1); },
      [&core] { core.BeginDrain(); },
      [&core] { core.AnnounceSuccessor("a"); },
  };
  size_t next_change = 0;
  std::vector<std::shared_ptr<const RouteSnapshot>> received;
  core.set_on_routes([&](std::shared_ptr<const RouteSnapshot> routes) {
    received.push_back(std::move(routes));
    if (next_change < changes.size()) {
      changes[next_change++]();
    }
  });
  cr_assert(fleet.RunUntil(Milliseconds(6'000),
                           [&] { return next_change == changes.size(); }));
  fleet.Run(Milliseconds(3'000));
  uint64_t last_sequence = 0;
  for (const auto& routes : received) {
    for (const Endpoint& endpoint : routes->Find("roster")->endpoints) {
      if (endpoint.record.id == "b") {
        cr_expect_geq(endpoint.record.sequence, last_sequence);
        last_sequence = endpoint.record.sequence;
      }
    }
  }
  cr_expect_eq(last_sequence, core.self().sequence);
  cr_expect(core.self().state == TargetState::kLeft);
  for (const Endpoint& known : fleet.nodes["a"].core->KnownNodes()) {
    cr_expect(known.record.id != "b" || known.record == core.self());
  }
}

}  // namespace dragonflytack
