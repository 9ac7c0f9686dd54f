// API keys that were revoked, across restarts, partitions and a store that
// comes back from an older copy.

#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "core_fleet.h"
#include "dragonflytack/accounts/account_index.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kSecond{1'000};
// The target for a change of the table (docs/design/README.md, section 2).
constexpr Milliseconds kRevocationLimit = 3 * kSecond;
constexpr char kRevoked[] = "revoked";
constexpr char kValid[] = "valid";

std::string DocumentWithKeys(const std::vector<std::string>& keys) {
  TableDocument document;
  document.rows["roster"].service = "roster";
  AccountRow& account = document.accounts["a"];
  account.account = "a";
  for (const std::string& key : keys) {
    account.keys.push_back(*KeyDigest::OfKey(key));
  }
  return document.ToJson();
}

// Whether the entry of the node would run a call with the key. Without a table
// it refuses all calls, and without accounts it runs all.
bool Accepts(const CoreFleet::Node& node, const char* key) {
  return node.core != nullptr && node.routes != nullptr &&
         node.routes->version != 0 &&
         (node.routes->accounts == nullptr ||
          node.routes->accounts->Find(*KeyDigest::OfKey(key)) != nullptr);
}

bool AnyAccepts(const CoreFleet& fleet, const char* key) {
  return std::any_of(
      fleet.nodes.begin(), fleet.nodes.end(),
      [key](const auto& item) { return Accepts(item.second, key); });
}

bool AllAccept(const CoreFleet& fleet, const char* key) {
  return std::all_of(
      fleet.nodes.begin(), fleet.nodes.end(),
      [key](const auto& item) { return Accepts(item.second, key); });
}

// Runs until all nodes accept the valid key, and checks at each step that none
// accepts the revoked one.
void ExpectRevokedThroughout(CoreFleet* fleet, uint64_t seed) {
  cr_assert(fleet->RunUntil(30 * kSecond,
                            [&] {
                              cr_assert(!AnyAccepts(*fleet, kRevoked),
                                        "seed %lu", seed);
                              return AllAccept(*fleet, kValid);
                            }),
            "seed %lu", seed);
  fleet->RunUntil(5 * kSecond, [&] {
    cr_assert(!AnyAccepts(*fleet, kRevoked), "seed %lu", seed);
    return false;
  });
}

// Starts nodes in three data centres with both keys in force.
void Start(CoreFleet* fleet) {
  fleet->StartMany({"north1", "north2", "south1"}, 3);
  cr_assert(
      fleet->RunUntil(30 * kSecond, [&] { return fleet->AllHaveNodes(9); }));
  fleet->store.WriteVersion("table", DocumentWithKeys({kRevoked, kValid}), 5);
  cr_assert(fleet->RunUntil(6 * kSecond, [&] {
    return AllAccept(*fleet, kRevoked) && AllAccept(*fleet, kValid);
  }));
}

void Revoke(CoreFleet* fleet) {
  fleet->store.WriteVersion("table", DocumentWithKeys({kValid}), 9);
  cr_assert(fleet->RunUntil(kRevocationLimit,
                            [&] { return !AnyAccepts(*fleet, kRevoked); }));
  cr_assert(AllAccept(*fleet, kValid));
  // A difference that a node refuses costs it a fetch of the whole table.
  for (const auto& [id, node] : fleet->nodes) {
    cr_expect_eq(node.core->Status().refusals, 0, "%s", id.c_str());
  }
}

}  // namespace

// Guards against a revoked key that is valid again at a node that restarts
// while the store, also one with another system's table, has come back from a
// copy that still has the key.
Test(account_distribution, revoked_key_stays_refused_after_restart_and_return) {
  for (const uint64_t seed : {1, 2, 3}) {
    for (const bool is_foreign : {false, true}) {
      CoreFleet fleet(seed);
      fleet.store.is_table_foreign = is_foreign;
      Start(&fleet);
      const FakeStore::Copy copy = fleet.store.MakeCopy();
      fleet.Run(5 * kSecond);
      Revoke(&fleet);
      std::vector<NodeId> ids;
      for (const auto& [id, node] : fleet.nodes) {
        ids.push_back(id);
      }
      for (size_t i = 0; i < 4; ++i) {
        fleet.Crash(ids[(seed + i) % ids.size()]);
      }
      fleet.store.mode = FakeStore::Mode::kUnreachable;
      fleet.Run(kSecond);
      if (is_foreign) {
        fleet.store.ReturnFrom(copy);
      } else {
        fleet.store.ReturnFromCopy(5 * kSecond);
      }
      fleet.store.mode = FakeStore::Mode::kUp;
      for (size_t i = 0; i < 4; ++i) {
        fleet.Boot(ids[(seed + i) % ids.size()]);
      }
      ExpectRevokedThroughout(&fleet, seed);
    }
  }
}

// Guards against the same at a node that finds no peer at first, and takes the
// copy from the store.
Test(account_distribution, revoked_key_stays_refused_after_lonely_restart) {
  for (const uint64_t seed : {1, 2, 3}) {
    CoreFleet fleet(seed);
    Start(&fleet);
    fleet.Run(5 * kSecond);
    Revoke(&fleet);
    const NodeId id = fleet.nodes.begin()->first;
    const HostPort host = fleet.nodes[id].host;
    fleet.Crash(id);
    fleet.network.is_partitioned = [host](const HostPort& a,
                                          const HostPort& b) {
      return (a == host) != (b == host);
    };
    fleet.store.ReturnFromCopy(4 * kSecond);
    fleet.Boot(id);
    fleet.RunUntil(3 * kSecond, [&] {
      cr_assert(!AnyAccepts(fleet, kRevoked), "seed %lu", seed);
      return false;
    });
    fleet.network.is_partitioned = [](const HostPort&, const HostPort&) {
      return false;
    };
    ExpectRevokedThroughout(&fleet, seed);
  }
}

// Guards against a node that refuses valid keys because it reaches nobody, and
// against one that keeps a revoked key after it is connected again.
Test(account_distribution, node_that_reaches_nobody_keeps_its_accounts) {
  for (const uint64_t seed : {1, 2, 3}) {
    CoreFleet fleet(seed);
    Start(&fleet);
    CoreFleet::Node& alone = fleet.nodes["south1-1"];
    const HostPort host = alone.host;
    fleet.network.is_partitioned = [host](const HostPort& a,
                                          const HostPort& b) {
      return (a == host) != (b == host);
    };
    fleet.store.rejected_clients.insert(&alone.paused);
    fleet.store.WriteVersion("table", DocumentWithKeys({kValid}), 9);
    fleet.Run(kRevocationLimit);
    for (const auto& [id, node] : fleet.nodes) {
      cr_expect_eq(Accepts(node, kRevoked), &node == &alone, "%s", id.c_str());
      cr_expect(Accepts(node, kValid), "%s", id.c_str());
    }
    fleet.Run(60 * kSecond);
    cr_expect(Accepts(alone, kValid), "seed %lu", seed);
    fleet.network.is_partitioned = [](const HostPort&, const HostPort&) {
      return false;
    };
    cr_expect(
        fleet.RunUntil(15 * kSecond, [&] { return !Accepts(alone, kRevoked); }),
        "seed %lu", seed);
    cr_expect(AllAccept(fleet, kValid), "seed %lu", seed);
  }
}

// Guards against a node that takes all calls, because the account sheet of an
// earlier version was removed and is missing in the new one, and against one
// that keeps asking for keys then.
Test(account_distribution, removed_sheet_ends_the_check) {
  CoreFleet fleet(1);
  Start(&fleet);
  fleet.WriteTable({"roster"});
  cr_expect(fleet.RunUntil(kRevocationLimit, [&] {
    return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                       [](const auto& item) {
                         return item.second.routes->accounts == nullptr;
                       });
  }));
}

}  // namespace dragonflytack
