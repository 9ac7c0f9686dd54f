#include <map>
#include <memory>
#include <string>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "distribution/cbor_reader.h"
#include "distribution/record_codec.h"
#include "distribution/route_builder.h"
#include "dragonflytack/base/manual_clock.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "dragonflytack/table/table.h"
#include "net/link_handshake.h"
#include "net/record_json.h"
#include "registry/registry.h"
#include "routing/router.h"

namespace dragonflytack {

namespace {

constexpr int kCalls = 2000;

Endpoint MakeTarget(const std::string& release, int number) {
  Endpoint endpoint;
  endpoint.record.id = fmt::format("{}-{}", release, number);
  endpoint.record.region = "a";
  endpoint.record.data_centre = "a1";
  endpoint.record.address = "127.0.0.1";
  endpoint.record.service = "s";
  endpoint.record.release = release;
  endpoint.record.state = TargetState::kReady;
  return endpoint;
}

// A router with one service of `old_targets` targets of v1 and two of v2.
class ReleaseFixture {
 public:
  explicit ReleaseFixture(int old_targets) : router_(&clock_, "a", "a1", 7) {
    route_.row.service = "s";
    for (int i = 0; i < old_targets; ++i) {
      route_.endpoints.push_back(MakeTarget("v1", i));
    }
    for (int i = 0; i < 2; ++i) {
      route_.endpoints.push_back(MakeTarget("v2", i));
    }
  }

  std::shared_ptr<ServicePool> SetShare(int share) {
    route_.rollout = {"s", "v2", share, 1};
    return Publish();
  }
  std::shared_ptr<ServicePool> Publish() {
    auto routes = std::make_shared<RouteSnapshot>();
    routes->services["s"] = std::make_shared<ServiceRoute>(route_);
    router_.SetRoutes(routes);
    return router_.Find("s");
  }
  // The calls of kCalls that each release gets; "" for no endpoint.
  std::map<std::string, int> Count(ServicePool* pool) {
    std::map<std::string, int> calls;
    for (int i = 0; i < kCalls; ++i) {
      const ServicePool::EndpointPtr chosen = pool->Choose({});
      ++calls[chosen == nullptr ? "" : chosen->record().release];
    }
    return calls;
  }

  ManualClock clock_;
  ServiceRoute route_;
  Router router_;
};

}  // namespace

// Guards against calls to a release without a share, in any of the ways in
// which a target is chosen.
Test(rollout_share, a_share_of_zero_excludes_a_release) {
  ReleaseFixture with_old(3);
  const auto pool = with_old.SetShare(0);
  cr_expect_eq(with_old.Count(pool.get())["v1"], kCalls);
  std::vector<ServicePool::EndpointPtr> all_old;
  for (int i = 0; i < 3; ++i) {
    all_old.push_back(pool->Choose(all_old));
  }
  cr_expect(pool->Choose(all_old) == nullptr);
  cr_expect(pool->ChooseForHedge(all_old) == nullptr);
  cr_expect(!pool->HasRoom(all_old, 1));
  ReleaseFixture without_old(0);
  cr_expect_eq(without_old.Count(without_old.SetShare(0).get())[""], kCalls);
}

// Guards against calls to old targets that stop without draining.
Test(rollout_share, the_full_share_excludes_the_other_releases) {
  ReleaseFixture fixture(3);
  const auto pool = fixture.SetShare(RolloutShare::kFull);
  cr_expect_eq(fixture.Count(pool.get())["v2"], kCalls);
  std::vector<ServicePool::EndpointPtr> all_new;
  for (int i = 0; i < 2; ++i) {
    all_new.push_back(pool->Choose(all_new));
  }
  cr_expect(pool->Choose(all_new) == nullptr);
  cr_expect(!pool->HasRoom(all_new, 1));
}

// Guards against a share that depends on the numbers of targets, and against
// calls that are lost while the new targets are gone.
Test(rollout_share, calls_are_drawn_by_the_share) {
  ReleaseFixture fixture(5);
  const auto pool = fixture.SetShare(200);
  const int drawn = fixture.Count(pool.get())["v2"];
  cr_expect(drawn > 300 && drawn < 500, "%d", drawn);
  fixture.route_.endpoints.resize(5);
  cr_expect_eq(fixture.Count(fixture.Publish().get())["v1"], kCalls);
}

// Guards against a lost rollback: its write may still be pending, so that it
// has the epoch of the step.
Test(rollout_share, a_rollback_supersedes_the_step_of_its_epoch) {
  const RolloutShare step{"s", "v2", 100, 7};
  const RolloutShare rollback{"s", "v2", 0, 7};
  const RolloutShare next{"s", "v2", 200, 8};
  cr_expect(rollback.Supersedes(step) && !step.Supersedes(rollback));
  cr_expect(next.Supersedes(rollback) && !rollback.Supersedes(next));
}

// Guards against calls to a release before the share of its order is known, and
// against a service without targets while it has only the new release.
Test(rollout_share, a_new_release_is_held) {
  ManualClock clock;
  Registry registry(&clock);
  RouteBuilder builder(&registry, /*holds_new_releases=*/true);
  ServiceRow row;
  row.service = "s";
  Failure reason;
  const auto table = Table::Make(1, {{"s", row}}, &reason);
  cr_assert(table != nullptr, "%s", reason.ToString().c_str());
  const auto add = [&](const std::string& release, int number,
                       uint64_t sequence = 1) {
    NodeRecord record = MakeTarget(release, number).record;
    record.id = fmt::format("n{}", number);
    record.sequence = sequence;
    registry.Merge(record, Liveness::kAlive, 0);
  };
  const auto held = [&] {
    return builder.Build(table, 1)->Find("s")->held_releases;
  };
  add("v1", 1);
  cr_expect(held().empty());
  add("v2", 2);
  cr_expect(held().contains("v2") && held().size() == 1);
  Router router(&clock, "a", "a1", 7);
  router.SetRoutes(builder.Build(table, 1));
  const auto pool = router.Find("s");
  for (int i = 0; i < kCalls; ++i) {
    cr_expect(pool->Choose({})->record().release == "v1");
  }
  clock.Advance(RouteBuilder::kHoldTime);
  int drawn = 0;
  for (int i = 0; i < kCalls; ++i) {
    drawn += pool->Choose({})->record().release == "v2" ? 1 : 0;
  }
  cr_expect(drawn > 0);
  add("v3", 1, 2);
  add("v3", 2, 2);
  cr_expect(held().empty());
}

// Guards against a release under roll-out that gets all calls after the end of
// all processes: the first release that a new process sees counts as the old
// one until the share is known again.
Test(rollout_share, the_old_release_keeps_its_calls_in_a_new_process) {
  ManualClock clock;
  Registry registry(&clock);
  RouteBuilder builder(&registry, /*holds_new_releases=*/true);
  ServiceRow row;
  row.service = "s";
  Failure reason;
  const auto table = Table::Make(1, {{"s", row}}, &reason);
  cr_assert(table != nullptr, "%s", reason.ToString().c_str());
  // The node's own target is of the new release; the others are found later.
  registry.Merge(MakeTarget("v2", 1).record, Liveness::kAlive, 0);
  builder.Build(table, 1);
  clock.Advance(Milliseconds(100));
  registry.Merge(MakeTarget("v1", 1).record, Liveness::kAlive, 0);
  cr_expect_not(
      builder.Build(table, 1)->Find("s")->held_releases.contains("v1"));
}

// Guards against a share that is lost with the record that carried it.
Test(rollout_share, a_share_outlives_its_record) {
  ManualClock clock;
  Registry registry(&clock);
  NodeRecord controller = MakeTarget("v1", 1).record;
  controller.rollout_shares = {{"s", "v2", 50, 9}};
  registry.Merge(controller, Liveness::kAlive, 0);
  controller.rollout_shares.clear();
  ++controller.incarnation;
  registry.Merge(controller, Liveness::kAlive, 0);
  cr_assert(registry.rollout_shares().Find("s") != nullptr);
  cr_expect_eq(registry.rollout_shares().Find("s")->share, 50);
}

// Guards against records without roll-outs that differ from those of earlier
// versions, and against fields that are lost on the way.
Test(rollout_share, records_carry_release_and_shares) {
  NodeRecord record = MakeTarget("v2", 1).record;
  record.sequence = 5;
  for (const bool has_shares : {false, true}) {
    if (has_shares) {
      record.rollout_shares = {{"s", "v2", 50, uint64_t{3} << 40},
                               {"t", "", 0, 4}};
    }
    Failure reason;
    const auto parsed = RecordFromJson(RecordToJson(record), &reason);
    cr_expect(parsed && *parsed == record, "%s", reason.ToString().c_str());
    nlohmann::json fields = nlohmann::json::array();
    RecordCodec::Append({{RecordUpdate{record}}, {}}, &fields);
    CborReader reader(fields);
    const RecordsMessage read = RecordCodec::Read(&reader);
    cr_assert(reader.Finished() && read.records.size() == 1);
    cr_expect(read.records.front().record == record);
  }
  record.release.clear();
  record.rollout_shares.clear();
  nlohmann::json fields = nlohmann::json::array();
  RecordCodec::Append({{RecordUpdate{record}}, {}}, &fields);
  cr_expect_eq(fields[1][0].size(), size_t{11});
  cr_expect(!RecordToJson(record).contains("release"));
}

// Guards against links that a controller of many roll-outs cannot open.
Test(rollout_share, a_handshake_stays_within_its_limit) {
  NodeRecord record = MakeTarget("v2", 1).record;
  record.sequence = 5;
  for (int i = 0; i < 200; ++i) {
    record.rollout_shares.push_back({fmt::format("service-{}", i), "v2", 0, 1});
  }
  LinkHandshake handshake(/*is_client=*/true, "");
  cr_expect(handshake.MakeHello(record).size() <
            LinkHandshake::kMaxMessageBytes);
}

}  // namespace dragonflytack
