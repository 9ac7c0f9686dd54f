#include "hop_model.h"

#include <algorithm>
#include <utility>

namespace dragonflytack {

HopModel::HopModel(uint64_t seed, const HopRules& rules)
    : rules_(rules), random_(seed) {
  for (int i = 0; i < kNodes; ++i) {
    nodes_.push_back(Node{1, std::make_unique<AttemptGuard>(1), 1});
  }
}

std::string HopModel::Run() {
  for (Call& call : calls_) {
    After(40, [this, &call] { Send(&call); });
  }
  for (int i = 0; i < kNodes; ++i) {
    if (random_.Below(2) == 0) {
      After(60, [this, i] { RestartNode(i); });
    }
    if (random_.Below(2) == 0) {
      After(60, [this, i] { RestartTarget(i); });
    }
  }
  for (; step_ < kSteps && violation_.empty(); ++step_) {
    // An event may add others.
    for (size_t i = 0; i < events_.size(); ++i) {
      if (events_[i].step == step_) {
        const auto run = events_[i].run;
        run();
      }
    }
  }
  return violation_;
}

void HopModel::After(int most_steps, std::function<void()> run) {
  events_.push_back({step_ + 1 + static_cast<int>(random_.Below(most_steps)),
                     std::move(run)});
}

void HopModel::Deliver(const std::function<void()>& run) {
  const uint64_t luck = random_.Below(10);
  if (luck == 0) {
    return;
  }
  After(random_.Below(3) == 0 ? 40 : 3, run);
  if (luck == 1) {
    After(40, run);
  }
}

void HopModel::Send(Call* call) {
  ++call->sends;
  const int node = static_cast<int>(random_.Below(kNodes));
  // The entry may not have heard of the last restart.
  const uint64_t incarnation =
      nodes_[node].incarnation - random_.Below(nodes_[node].incarnation);
  const AttemptId id = numbers_.Next("n" + std::to_string(node), incarnation);
  const uint64_t number = ++attempts_;
  call->waits_for = number;
  Deliver(
      [this, call, node, id, number] { OnAttempt(call, node, id, number); });
  // The time limit of the attempt.
  events_.push_back({step_ + 25, [this, call, number] {
                       OnOutcome(call, number, Outcome::kUnknown);
                     }});
}

void HopModel::OnAttempt(Call* call,
                         int node,
                         const AttemptId& id,
                         uint64_t number) {
  Node& beside = nodes_[node];
  AttemptId meant = id;
  if (!rules_.checks_own_start) {
    meant.target_incarnation = beside.incarnation;
  }
  AttemptGuard::Decision verdict = beside.guard->Admit(meant, TimePoint());
  if (!rules_.guards_attempts) {
    verdict = AttemptGuard::Decision::kStart;
  }
  if (verdict == AttemptGuard::Decision::kNotStarted) {
    Reply(call, number, Outcome::kNotRun);
    return;
  }
  if (verdict != AttemptGuard::Decision::kStart) {
    coverage_.no_proof += 1;
    Reply(call, number, Outcome::kUnknown);
    return;
  }
  if (random_.Below(5) == 0) {
    // The queue is full.
    beside.guard->Withdraw(meant);
    Reply(call, number, Outcome::kNotRun);
    return;
  }
  // To the target over a connection: it may be lost, but is not repeated.
  if (random_.Below(10) == 0) {
    return;
  }
  After(3, [this, call, node, meant, number, start = beside.known_start] {
    OnTarget(call, node, meant, number, start);
  });
}

void HopModel::OnTarget(Call* call,
                        int node,
                        const AttemptId& id,
                        uint64_t number,
                        uint64_t named_start) {
  const Target& target = targets_[node];
  if (rules_.target_checks_its_name && named_start != target.start) {
    coverage_.misdirected += 1;
    // A node that was restarted meanwhile has forgotten the attempt.
    if (nodes_[node].incarnation == id.target_incarnation) {
      nodes_[node].guard->Withdraw(id);
      Reply(call, number, Outcome::kNotRun);
    }
    return;
  }
  coverage_.executed += 1;
  if (!target.offers_service) {
    violation_ = "a call was run by another service";
  } else if (++call->executions > 1) {
    violation_ = "a call was run twice";
  } else if (call->told_not_run) {
    violation_ = "a call was run after it was said not to run";
  }
  if (random_.Below(8) != 0) {
    Reply(call, number, Outcome::kDone);
  }
}

void HopModel::Reply(Call* call, uint64_t number, Outcome outcome) {
  Deliver([this, call, number, outcome] { OnOutcome(call, number, outcome); });
}

void HopModel::OnOutcome(Call* call, uint64_t number, Outcome outcome) {
  if (call->ended || call->waits_for != number) {
    return;
  }
  const bool not_run =
      outcome == Outcome::kNotRun ||
      (!rules_.needs_proof_of_not_run && outcome == Outcome::kUnknown);
  const bool may_send_again =
      not_run || (!rules_.keeps_to_one_send && outcome == Outcome::kUnknown);
  if (may_send_again && call->sends < kMaxSends) {
    coverage_.sent_again += 1;
    Send(call);
    return;
  }
  End(call, not_run);
}

void HopModel::End(Call* call, bool not_run) {
  call->ended = true;
  call->told_not_run = not_run;
  (not_run ? coverage_.told_not_run : coverage_.unknown) += 1;
  if (not_run && call->executions > 0) {
    violation_ = "a call that had run was said not to have run";
  }
}

void HopModel::RestartNode(int node) {
  Node& beside = nodes_[node];
  ++beside.incarnation;
  beside.guard = std::make_unique<AttemptGuard>(beside.incarnation);
}

void HopModel::RestartTarget(int node) {
  Target& target = targets_[node];
  ++target.start;
  target.offers_service = random_.Below(2) == 0;
  // A target of another service is never known as one of this service.
  if (target.offers_service) {
    After(20, [this, node, start = target.start] {
      nodes_[node].known_start = start;
    });
  }
}

}  // namespace dragonflytack
