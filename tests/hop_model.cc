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
    ScheduleWithin(40, [this, &call] { SendAttempt(&call); });
  }
  for (int i = 0; i < kNodes; ++i) {
    if (random_.Below(2) == 0) {
      ScheduleWithin(60, [this, i] { RestartNode(i); });
    }
    if (random_.Below(2) == 0) {
      ScheduleWithin(60, [this, i] { RestartTarget(i); });
    }
  }
  for (; step_ < kSteps && violation_.empty(); ++step_) {
    // An event may add further events.
    for (size_t i = 0; i < events_.size(); ++i) {
      if (events_[i].step == step_) {
        const auto run = events_[i].run;
        run();
      }
    }
  }
  return violation_;
}

void HopModel::ScheduleWithin(int max_steps, std::function<void()> run) {
  events_.push_back(
      {step_ + 1 + static_cast<int>(random_.Below(max_steps)), std::move(run)});
}

void HopModel::DeliverUnreliably(const std::function<void()>& run) {
  const uint64_t roll = random_.Below(10);
  if (roll == 0) {
    return;
  }
  ScheduleWithin(random_.Below(3) == 0 ? 40 : 3, run);
  if (roll == 1) {
    ScheduleWithin(40, run);
  }
}

void HopModel::SendAttempt(Call* call) {
  ++call->attempts;
  const int node = static_cast<int>(random_.Below(kNodes));
  // The entry node may not have received the last incarnation yet.
  const uint64_t incarnation =
      nodes_[node].incarnation - random_.Below(nodes_[node].incarnation);
  const AttemptId id =
      attempt_ids_.Next("n" + std::to_string(node), incarnation);
  const uint64_t number = ++last_attempt_number_;
  call->current_attempt = number;
  DeliverUnreliably(
      [this, call, node, id, number] { OnAttempt(call, node, id, number); });
  // The timeout of the attempt.
  events_.push_back({step_ + 25, [this, call, number] {
                       OnOutcome(call, number, Outcome::kUnknown);
                     }});
}

void HopModel::OnAttempt(Call* call,
                         int node,
                         const AttemptId& id,
                         uint64_t number) {
  Node& node_state = nodes_[node];
  AttemptId checked_id = id;
  if (!rules_.node_checks_incarnation) {
    checked_id.target_incarnation = node_state.incarnation;
  }
  AttemptGuard::Decision decision =
      node_state.guard->Admit(checked_id, TimePoint());
  if (!rules_.node_guards_attempts) {
    decision = AttemptGuard::Decision::kStart;
  }
  if (decision == AttemptGuard::Decision::kNotStarted) {
    Reply(call, number, Outcome::kNotRun);
    return;
  }
  if (decision != AttemptGuard::Decision::kStart) {
    coverage_.rejected_as_unknown += 1;
    Reply(call, number, Outcome::kUnknown);
    return;
  }
  if (random_.Below(5) == 0) {
    // The queue is full.
    node_state.guard->Withdraw(checked_id);
    Reply(call, number, Outcome::kNotRun);
    return;
  }
  // A connection to the target may lose the call but does not duplicate it.
  if (random_.Below(10) == 0) {
    return;
  }
  ScheduleWithin(3, [this, call, node, checked_id, number,
                     start = node_state.known_start] {
    OnTarget(call, node, checked_id, number, start);
  });
}

void HopModel::OnTarget(Call* call,
                        int node,
                        const AttemptId& id,
                        uint64_t number,
                        uint64_t expected_start) {
  const Target& target = targets_[node];
  if (rules_.target_checks_instance && expected_start != target.start) {
    coverage_.misdirected += 1;
    // A node that was restarted meanwhile has no state of the attempt.
    if (nodes_[node].incarnation == id.target_incarnation) {
      nodes_[node].guard->Withdraw(id);
      Reply(call, number, Outcome::kNotRun);
    }
    return;
  }
  coverage_.executed += 1;
  if (!target.offers_service) {
    violation_ = "a call ran at a target of another service";
  } else if (++call->executions > 1) {
    violation_ = "a call ran twice";
  } else if (call->reported_not_run) {
    violation_ = "a call ran after it was reported as not run";
  }
  if (random_.Below(8) != 0) {
    Reply(call, number, Outcome::kDone);
  }
}

void HopModel::Reply(Call* call, uint64_t number, Outcome outcome) {
  DeliverUnreliably(
      [this, call, number, outcome] { OnOutcome(call, number, outcome); });
}

void HopModel::OnOutcome(Call* call, uint64_t number, Outcome outcome) {
  if (call->finished || call->current_attempt != number) {
    return;
  }
  const bool not_run =
      outcome == Outcome::kNotRun ||
      (!rules_.not_run_requires_proof && outcome == Outcome::kUnknown);
  const bool may_retry = not_run || (!rules_.no_retry_after_unknown &&
                                     outcome == Outcome::kUnknown);
  if (may_retry && call->attempts < kMaxAttempts) {
    coverage_.retried += 1;
    SendAttempt(call);
    return;
  }
  FinishCall(call, not_run);
}

void HopModel::FinishCall(Call* call, bool not_run) {
  call->finished = true;
  call->reported_not_run = not_run;
  (not_run ? coverage_.reported_not_run : coverage_.unknown) += 1;
  if (not_run && call->executions > 0) {
    violation_ = "a call that had run was reported as not run";
  }
}

void HopModel::RestartNode(int node) {
  Node& node_state = nodes_[node];
  ++node_state.incarnation;
  node_state.guard = std::make_unique<AttemptGuard>(node_state.incarnation);
}

void HopModel::RestartTarget(int node) {
  Target& target = targets_[node];
  ++target.start;
  target.offers_service = random_.Below(2) == 0;
  // The node never takes a target of another service for one of this service.
  if (target.offers_service) {
    ScheduleWithin(20, [this, node, start = target.start] {
      nodes_[node].known_start = start;
    });
  }
}

}  // namespace dragonflytack
