// The figures of fleet-wide rate limits over the patterns of traffic and faults
// that docs/design/README.md lists.

#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "accounts/allowance_timing.h"
#include "allowance_model.h"

namespace dragonflytack {

namespace {

using allowance_model::DataCentreOf;
using allowance_model::Figures;
using allowance_model::kDataCentres;
using allowance_model::kNodes;
using allowance_model::kRegions;
using allowance_model::Model;
using allowance_model::Pattern;

// Runs a pattern over three seeds and checks the figures. The timer of an entry
// node that stalls is late by the stall.
void Check(const char* name, const Pattern& pattern, int stall_ms = 0) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const Figures figures = Model(pattern, seed).Run();
    std::fprintf(
        stderr,
        "%s: seed %d excess %.1f offered %d refused %d wrongly %d "
        "(%.2f%%) waited %d long %d messages %.1f/s, between regions %.1f/s "
        "%.0f bytes/s longest wait %.0f ms\n",
        name, static_cast<int>(seed), figures.excess, figures.offered,
        figures.refused, figures.wrongly_refused, figures.WrongShare() * 100,
        figures.waited, figures.waited_long, figures.messages / pattern.seconds,
        figures.messages_between_regions / pattern.seconds,
        figures.bytes_between_regions / pattern.seconds,
        figures.longest_wait_ms);
    cr_expect(figures.excess <= 0, "%s seed %d: %f calls over the bound", name,
              static_cast<int>(seed), figures.excess);
    cr_expect(figures.WrongShare() < 0.02,
              "%s seed %d: %d of %d calls refused below the limit", name,
              static_cast<int>(seed), figures.wrongly_refused, figures.offered);
    cr_expect(figures.longest_wait_ms <=
              kAllowanceMaxWait.count() + stall_ms + 2);
  }
}

// Runs it for a small, a medium and a large account, at a multiple of the
// limit.
void CheckSizes(const char* name,
                Pattern pattern,
                double multiple,
                int stall_ms = 0) {
  for (const int rate : {4, 10, 300}) {
    pattern.limit = {1, rate, 0};
    pattern.demand = [rate, multiple](double) { return rate * multiple; };
    Check((std::string(name) + " " + std::to_string(rate) + "/s").c_str(),
          pattern, stall_ms);
  }
}

constexpr double kUsual = 0.8;
constexpr int kStallMs = 100;

// Whether a node is the candidate for the agent of a data centre.
bool IsAgentOf(int data_centre, int node) {
  std::vector<AllowanceHomes::Node> nodes;
  for (int i = data_centre; i < kNodes; i += kDataCentres) {
    nodes.push_back({"node-" + std::to_string(i), "dc"});
  }
  AllowanceHomes homes;
  homes.SetNodes(nodes);
  return homes.Contains("node-" + std::to_string(node));
}

// The accounts of the deployment: three large ones, the others small.
std::vector<double> DeploymentRates() {
  std::vector<double> rates{300, 200, 100};
  for (int i = 3; i < 79; ++i) {
    rates.push_back(2.0 + i % 11);
  }
  return rates;
}

}  // namespace

// An account whose permits lie at nodes without calls would be refused.
Test(allowance_model, calls_at_all_nodes) {
  CheckSizes("all nodes", {}, kUsual);
}

// Equal shares would refuse an account that calls at one node.
Test(allowance_model, calls_at_one_node) {
  Pattern pattern;
  pattern.entry = [](double, std::mt19937_64&) { return 17; };
  CheckSizes("one node", pattern, kUsual);
}

// Permits and shares that stay at the former node would be missing.
Test(allowance_model, calls_move_to_other_nodes) {
  Pattern pattern;
  pattern.entry = [](double time, std::mt19937_64& random) {
    return (static_cast<int>(time / 10) * 13 + static_cast<int>(random() % 3)) %
           kNodes;
  };
  CheckSizes("moves", pattern, kUsual);
}

// Nodes that decide on old counts would admit a surge several times.
Test(allowance_model, six_times_the_usual_rate_at_once) {
  for (const int rate : {4, 10, 300}) {
    Pattern pattern;
    pattern.limit = {1, rate, rate};
    pattern.demand = [rate](double time) {
      return rate * kUsual * (time >= 20 && time < 35 ? 6 : 1);
    };
    Check("surge", pattern);
  }
}

// Both sides of a partition would grant the whole limit, or the side without
// the home node nothing.
Test(allowance_model, partition) {
  for (int region = 0; region < kRegions; ++region) {
    for (const double multiple : {kUsual, 6 * kUsual}) {
      Pattern pattern;
      pattern.cut_region = region;
      pattern.cut_from = 20;
      pattern.cut_to = 32;
      CheckSizes("partition", pattern, multiple);
    }
  }
}

// The calls that the killed nodes counted or were permitted would be forgotten.
Test(allowance_model, third_of_the_nodes_killed_with_the_home_node) {
  for (const double multiple : {kUsual, 6 * kUsual}) {
    Pattern pattern;
    pattern.is_killed = [](int node, int home) { return node % 3 == home % 3; };
    pattern.kill_at = 20;
    pattern.restart_at = 40;
    CheckSizes("home killed", pattern, multiple);
  }
}

// The shares of killed nodes would be missing elsewhere.
Test(allowance_model, third_of_the_nodes_killed_without_the_home_node) {
  for (const double multiple : {kUsual, 6 * kUsual}) {
    Pattern pattern;
    pattern.is_killed = [](int node, int home) {
      return node % 3 == (home + 1) % 3;
    };
    pattern.kill_at = 20;
    pattern.restart_at = 40;
    CheckSizes("others killed", pattern, multiple);
  }
}

// Permits and counts under the former limit would stay in force.
Test(allowance_model, lower_limit) {
  Pattern pattern;
  pattern.limit = {1, 300, 0};
  pattern.lower_at = 20;
  pattern.lower = {2, 60, 0};
  pattern.demand = [](double) { return 240.0; };
  Check("lower limit", pattern);
}

// Each entry node would send messages to other regions, as without agents.
Test(allowance_model, agents_save_messages_between_regions) {
  Pattern pattern;
  pattern.seconds = 20;
  pattern.rates = DeploymentRates();
  Check("79 accounts", pattern);
  const Figures with = Model(pattern, 1).Run();
  pattern.has_no_agent = [](int) { return true; };
  Check("79 accounts without agents", pattern);
  const Figures without = Model(pattern, 1).Run();
  cr_expect_leq(with.messages_between_regions * 5,
                without.messages_between_regions);
  cr_expect_leq(with.bytes_between_regions * 5, without.bytes_between_regions);
}

// Responses of home nodes and agents that come late would be taken for none, so
// that several home nodes count the same calls.
Test(allowance_model, home_nodes_and_agents_respond_late) {
  Pattern pattern;
  pattern.is_late = [](int, bool is_candidate) { return is_candidate; };
  CheckSizes("late candidates", pattern, kUsual, kStallMs);
  CheckSizes("late candidates", pattern, 6 * kUsual, kStallMs);
  pattern.seconds = 20;
  pattern.rates = DeploymentRates();
  Check("late candidates, 79 accounts", pattern, kStallMs);
}

Test(allowance_model, all_nodes_respond_late) {
  Pattern pattern;
  pattern.is_late = [](int, bool) { return true; };
  CheckSizes("all late", pattern, kUsual, kStallMs);
  CheckSizes("all late", pattern, 6 * kUsual, kStallMs);
}

// The permits that the agent passed on would be forgotten, or its data centre
// would have no room until the agent is back.
Test(allowance_model, agent_silent) {
  for (const double multiple : {kUsual, 6 * kUsual}) {
    Pattern pattern;
    pattern.is_paused = [](int node, int home) {
      return IsAgentOf((DataCentreOf(home) + 1) % kDataCentres, node);
    };
    pattern.pause_from = 20;
    pattern.pause_to = 26;
    CheckSizes("agent silent", pattern, multiple);
  }
}

Test(allowance_model, agent_ended) {
  for (const double multiple : {kUsual, 6 * kUsual}) {
    Pattern pattern;
    pattern.is_killed = [](int node, int home) {
      return IsAgentOf((DataCentreOf(home) + 1) % kDataCentres, node);
    };
    pattern.kill_at = 20;
    pattern.restart_at = 50;
    CheckSizes("agent ended", pattern, multiple);
  }
}

// A new process of an agent would pass on permits of the former one, or return
// them.
Test(allowance_model, agents_restarted) {
  for (const double multiple : {kUsual, 6 * kUsual}) {
    Pattern pattern;
    pattern.is_killed = [](int node, int home) {
      return node != home && IsAgentOf(DataCentreOf(node), node);
    };
    pattern.kill_at = 20;
    pattern.restart_at = 20.3;
    CheckSizes("agents restarted", pattern, multiple);
  }
}

// The agent that is cut off would refuse all calls, or grant without the home
// node.
Test(allowance_model, data_centre_cut_off) {
  for (const int data_centre : {0, 3, 5}) {
    for (const double multiple : {kUsual, 6 * kUsual}) {
      Pattern pattern;
      pattern.cut_data_centre = data_centre;
      pattern.cut_from = 20;
      pattern.cut_to = 32;
      CheckSizes("data centre cut off", pattern, multiple);
    }
  }
}

// Calls of an entry node that asks directly would be counted as the agent's.
Test(allowance_model, agent_and_direct_nodes_at_once) {
  for (const double multiple : {kUsual, 6 * kUsual}) {
    Pattern pattern;
    pattern.has_no_agent = [](int node) { return node % 4 == 0; };
    CheckSizes("agents and direct nodes", pattern, multiple);
  }
}

// Home nodes that the others learn of shortly before the first calls would
// treat the limit as used.
Test(allowance_model, nodes_start_together) {
  Pattern pattern;
  pattern.calls_from = 10;
  pattern.seconds = 30;
  pattern.joins_at = [](int node) {
    return IsAgentOf(DataCentreOf(node), node) ? 9.5 : 0.1 * node;
  };
  pattern.rates = DeploymentRates();
  Check("start", pattern);
  pattern.is_late = [](int, bool is_candidate) { return is_candidate; };
  Check("start with late candidates", pattern, kStallMs);
}

}  // namespace dragonflytack
