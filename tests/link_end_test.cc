#include <memory>
#include <string>

#include <criterion/criterion.h>

#include "dragonflytack/base/manual_clock.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/distribution/distribution_core.h"
#include "fake_store.h"
#include "holding_relay.h"
#include "link_fixture.h"

namespace dragonflytack {

namespace {

// A link from node a over a relay to node b, which has closed it. Node a has
// received the close frame, but not the end of the stream.
struct ClosedByPeer : public LinkFixture {
  ClosedByPeer() : relay(loop.get(), {ProcessAddress(), 21'002}, b.address) {}

  void LinkUpAndClose() {
    a.layer->Connect(relay.address());
    cr_assert(Run([this] { return a.link != 0 && b.link != 0; }));
    b.layer->Close(b.link);
    cr_assert(Run([this] { return relay.held_ends() > 0; }));
    RunTurns();
  }

  // Runs the loop for some turns, so that node a reads what it was sent.
  void RunTurns() {
    int turns = 0;
    Run([&turns] { return ++turns > 20; });
  }

  HoldingRelay relay;
};

}  // namespace

// Guards against a layer that reports an end from within the call that causes
// it, whatever the cause, and against a report after Close().
Test(link_end, end_from_within_a_call_is_reported_later_unless_closed) {
  for (const bool closes : {false, true}) {
    LinkFixture fixture;
    cr_assert(fixture.LinkUp());
    WebSocketLink* link = nullptr;
    fixture.a.layer->ForEachUp([&link](const WebSocketLink& up) {
      link = const_cast<WebSocketLink*>(&up);
    });
    WebSocketLink::Delegate& layer = *fixture.a.layer;
    layer.OnDown(link, {FailureCode::kInvalidMessage, "peer", "ended"}, true);
    cr_assert(fixture.a.downs.empty());
    if (closes) {
      fixture.a.layer->Close(fixture.a.link);
    }
    int turns = 0;
    fixture.Run([&turns] { return ++turns > 20; });
    cr_assert_eq(fixture.a.downs.size(), closes ? 0u : 1u);
  }
}

// Guards against OnDown() from within Send(), after which the caller uses the
// state of a link that no longer exists.
Test(link_end, send_after_the_peer_has_closed_does_not_report_the_end) {
  ClosedByPeer fixture;
  fixture.LinkUpAndClose();
  const size_t before = fixture.a.downs.size();
  fixture.a.layer->Send(fixture.a.link, "x");
  cr_assert_eq(fixture.a.downs.size(), before);
  cr_assert(fixture.Run([&] { return fixture.a.downs.size() == 1; }));
}

// Guards against a memory fault of a node that has changes to send to a peer
// that is stopping (exit code 139 in RegistrySync::Flush()).
Test(link_end, node_survives_peer_that_closes_while_changes_are_pending) {
  ClosedByPeer fixture;
  ManualClock store_clock;
  FakeStore store(&store_clock);
  const std::unique_ptr<StoreClient> client = store.MakeClient();
  Settings settings;
  settings.node_id = "n0";
  settings.region = "r";
  settings.data_centre = "d0";
  settings.address = fixture.a.address.address;
  settings.peer_port = fixture.a.address.port;
  DistributionCore core(settings, &fixture.loop->timers(), client.get(),
                        fixture.a.layer.get(), &fixture.logger, 1);
  fixture.a.layer->set_events(
      {[&core]() -> const NodeRecord& { return core.self(); },
       [&](LinkId link, const NodeRecord& peer, bool outgoing) {
         fixture.a.link = link;
         core.OnLinkUp(link, peer, outgoing);
       },
       [&core](LinkId link, std::string_view frame) {
         core.OnFrame(link, frame);
       },
       [&core](LinkId link, const Failure& reason) {
         core.OnLinkDown(link, reason);
       }});
  core.Start();
  fixture.LinkUpAndClose();
  core.SetTarget("roster", TargetState::kReady, 4);
  core.BeginDrain();
  cr_assert(fixture.Run([&] { return core.Status().links.empty(); }));
}

// Guards against a link that counts as up after the peer has closed it, so that
// frames for it are lost until the end of the stream.
Test(link_end, close_frame_ends_link_before_end_of_stream) {
  ClosedByPeer fixture;
  fixture.LinkUpAndClose();
  cr_assert_eq(fixture.a.downs.size(), 1u);
  cr_assert(fixture.a.downs[0].code == FailureCode::kCancelled, "%s",
            fixture.a.downs[0].ToString().c_str());
}

// Guards against events from within a call of the link layer, at queue limits
// and with links that either side closes at any moment.
Test(link_end, no_event_is_reported_from_within_a_call) {
  LinkOptions options = OptionsWithKey();
  options.max_queue_bytes = 20'000;
  options.max_frame_bytes = 10'000;
  LinkFixture fixture(options, options);
  Random random(20);
  bool is_calling = false;
  std::vector<LinkId> links[2];
  LinkNode* const nodes[2] = {&fixture.a, &fixture.b};
  for (int i = 0; i < 2; ++i) {
    nodes[i]->layer->set_events(
        {[node = nodes[i]]() -> const NodeRecord& { return node->self; },
         [&, i](LinkId link, const NodeRecord&, bool) {
           cr_assert_not(is_calling);
           links[i].push_back(link);
         },
         [&](LinkId, std::string_view) { cr_assert_not(is_calling); },
         [&, i](LinkId link, const Failure&) {
           cr_assert_not(is_calling);
           std::erase(links[i], link);
         }});
  }
  const auto call = [&](int i) {
    LinkLayer& layer = *nodes[i]->layer;
    const LinkId link =
        links[i].empty() ? 0 : links[i][random.Below(links[i].size())];
    is_calling = true;
    switch (random.Below(8)) {
      case 0:
        layer.Connect(nodes[1 - i]->address);
        break;
      case 1:
        layer.Close(link);
        std::erase(links[i], link);
        break;
      default:
        layer.Send(link, std::string(random.Below(10'100), 'x'));
    }
    is_calling = false;
  };
  for (int round = 0; round < 100; ++round) {
    fixture.Run([&] {
      for (int i = 0; i < 20; ++i) {
        call(static_cast<int>(random.Below(2)));
      }
      return true;
    });
  }
}

}  // namespace dragonflytack
