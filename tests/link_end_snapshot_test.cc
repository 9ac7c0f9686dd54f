#include <string>

#include <criterion/criterion.h>

#include "core_fleet.h"
#include "distribution/bootstrapper.h"
#include "distribution/link_manager.h"
#include "distribution/message_codec.h"
#include "distribution/snapshot_server.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kSecond{1'000};
// Above the ids of the links that the fleet makes.
constexpr LinkId kFirstLink = 1'000;

// One core of a fleet, and peers that exist only as the events of their links.
struct CoreWithPeers {
  CoreWithPeers() {
    version = fleet.WriteTable({"roster"});
    node = &fleet.Start("server", "north1");
    cr_assert(fleet.RunUntil(3 * kSecond,
                             [&] { return node->version() == version; }));
  }

  // Opens a link to the peer, and returns it after the peer's hello.
  LinkId LinkUp(const NodeId& peer, bool outgoing) {
    NodeRecord record;
    record.id = peer;
    record.incarnation = 1;
    record.sequence = 1;
    record.region = "north";
    record.data_centre = "north1";
    record.address = "127.0.0.1";
    record.peer_port = 9'000;
    const LinkId link = next_link++;
    node->core->OnLinkUp(link, record, outgoing);
    ReceiveHello(link);
    return link;
  }

  void ReceiveHello(LinkId link) {
    HelloMessage hello;
    hello.in_force = true;
    hello.version = version;
    node->core->OnFrame(link, MessageCodec::Encode(hello));
  }

  // Takes all slots for snapshots with links from joining nodes.
  void TakeAllSlots() {
    for (size_t i = 0; i < SnapshotServer::kMaxServed; ++i) {
      RequestSnapshot(LinkUp("joining-" + std::to_string(i), false));
    }
    cr_assert_eq(node->core->Status().snapshots_served,
                 SnapshotServer::kMaxServed);
  }

  void RequestSnapshot(LinkId link) {
    node->core->OnFrame(link, MessageCodec::Encode(SnapshotRequestMessage{}));
  }

  CoreFleet fleet;
  TableVersion version = 0;
  CoreFleet::Node* node = nullptr;
  LinkId next_link = kFirstLink;
};

}  // namespace

// Guards against a slot that stays taken until its timeout after the link of
// the joining node was replaced by a newer one.
Test(link_end_snapshot, replaced_link_releases_its_slot) {
  CoreWithPeers test;
  test.TakeAllSlots();
  for (size_t i = 0; i < SnapshotServer::kMaxServed; ++i) {
    test.LinkUp("joining-" + std::to_string(i), false);
  }
  cr_expect_eq(test.node->core->Status().snapshots_served, 0u);
  test.RequestSnapshot(test.LinkUp("next", false));
  cr_expect_eq(test.fleet.FramesSent("busy"), 0u);
  cr_expect_eq(test.fleet.FramesSent("snapshot_end"),
               SnapshotServer::kMaxServed + 1);
}

// Guards against a slot that stays taken until its timeout after the joining
// node lost its power, so that its link was closed as silent.
Test(link_end_snapshot, silent_link_releases_its_slot) {
  CoreWithPeers test;
  test.TakeAllSlots();
  test.fleet.Run(LinkManager::kLinkTimeout + kSecond);
  cr_expect(test.node->core->Status().links.empty());
  cr_expect_eq(test.node->core->Status().snapshots_served, 0u);
  test.RequestSnapshot(test.LinkUp("next", false));
  cr_expect_eq(test.fleet.FramesSent("busy"), 0u);
  cr_expect_eq(test.fleet.FramesSent("snapshot_end"),
               SnapshotServer::kMaxServed + 1);
}

// Guards against a joining node that waits for a snapshot over a link that was
// replaced, until the request times out.
Test(link_end_snapshot, replaced_link_lets_snapshot_be_requested_again) {
  CoreWithPeers test;
  test.LinkUp("peer", true);
  cr_assert_eq(test.fleet.FramesSent("snapshot_request"), 1u);
  test.LinkUp("peer", true);
  cr_expect_eq(test.fleet.FramesSent("snapshot_request"), 2u);
}

// Guards against a slot that stays taken at a server whose snapshot arrived
// after the joining node had requested another one.
Test(link_end_snapshot, late_snapshot_is_confirmed_to_its_server) {
  CoreWithPeers test;
  const LinkId late = test.LinkUp("late", true);
  const LinkId second = test.LinkUp("second", true);
  const TimePoint asked = test.fleet.clock.Now();
  while (test.fleet.clock.Now() - asked <= Bootstrapper::kSnapshotTimeout) {
    test.fleet.Run(kSecond);
    test.ReceiveHello(late);
    test.ReceiveHello(second);
  }
  cr_assert_eq(test.fleet.FramesSent("snapshot_request"), 2u);
  for (const LinkId link : {late, second}) {
    test.node->core->OnFrame(link, MessageCodec::Encode(SnapshotEndMessage{}));
  }
  cr_expect_eq(test.fleet.FramesSent("snapshot_taken"), 2u);
}

}  // namespace dragonflytack
