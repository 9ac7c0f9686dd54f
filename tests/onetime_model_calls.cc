#include <fmt/format.h>

#include "onetime/key_location.h"
#include "onetime/recorded_response.h"
#include "onetime_model.h"

namespace dragonflytack {

void OneTimeModel::Route(CallPtr call, const OneTimeKey& key) {
  const KeyLocation location = KeyLocation::Find(
      {key.owner, key.incarnation}, *nodes_[call->entry->node].routes,
      call->entry->records);
  switch (location.kind) {
    case KeyLocation::Kind::kHere:
      AtHome(call->entry, call, key, ++call->request);
      return;
    case KeyLocation::Kind::kNode:
      Forward(call, key, location.node.id);
      return;
    case KeyLocation::Kind::kGone:
      Answer(call, {.kind = BeginDecision::Kind::kUnknown});
      return;
  }
}

void OneTimeModel::Forward(CallPtr call,
                           const OneTimeKey& key,
                           const NodeId& node) {
  constexpr int kMaxHops = 4;
  if (nodes_[NodeIndex(node)].process == nullptr || ++call->hops > kMaxHops) {
    Answer(call, {.kind = BeginDecision::Kind::kUnknown});
    return;
  }
  const int request = ++call->request;
  Request(NodeIndex(node), [this, call, key, request](ProcessPtr owner) {
    AtHome(owner, call, key, request);
  });
  Later(call->entry, [this, call] {
    if (Chance(30)) {
      Answer(call, {.kind = BeginDecision::Kind::kUnknown});
    }
  });
}

void OneTimeModel::AtHome(ProcessPtr owner,
                          CallPtr call,
                          const OneTimeKey& key,
                          int request) {
  const BeginDecision decision =
      rules_->Begin(&owner->records, key, actions_[call->action].request, now_);
  Note(fmt::format("{} decides {} reason {} for action {}",
                   NodeName(owner->node), static_cast<int>(decision.kind),
                   BeginReasonName(decision.reason), call->action));
  const auto reply = [this, call, key, request](const BeginDecision& result) {
    Send(call->entry, [this, call, key, request, result] {
      // As with HTTP, an answer belongs to one request.
      if (call->request == request) {
        AtEntry(call, key, result);
      }
    });
  };
  if (decision.kind != BeginDecision::Kind::kDispatch &&
      decision.kind != BeginDecision::Kind::kWait) {
    reply(decision);
    return;
  }
  owner->waiting[key.id].push_back(
      [owner, key, reply] { reply(owner->records.Recorded(key)); });
  if (decision.kind == BeginDecision::Kind::kDispatch) {
    Dispatch(owner, call, key, decision.attempt);
  }
}

void OneTimeModel::AtEntry(CallPtr call,
                           const OneTimeKey& key,
                           BeginDecision decision) {
  if (call->answered) {
    return;
  }
  if (decision.kind == BeginDecision::Kind::kForward) {
    Forward(call, key, decision.forward_to);
    return;
  }
  if (decision.kind == BeginDecision::Kind::kNotRun && call->claim != nullptr) {
    if (decision.scope == NotRunScope::kKey && key == call->claim->key()) {
      OnClaimStep(call, call->claim->OnOwnerRefused());
      return;
    }
    decision.scope = NotRunScope::kRequest;
  }
  Answer(call, decision);
}

void OneTimeModel::Answer(CallPtr call, const BeginDecision& decision) {
  if (call->answered) {
    return;
  }
  call->answered = true;
  Action& action = actions_[call->action];
  Note(fmt::format("action {} answered {} scope {}", call->action,
                   static_cast<int>(decision.kind),
                   static_cast<int>(decision.scope)));
  if (decision.kind == BeginDecision::Kind::kDone) {
    ++coverage_.done;
    if (action.executions != 1) {
      Violation("answered as done without an execution");
    }
    if (decision.response != nullptr &&
        decision.response->body != action.name) {
      Violation("answer of another action");
    }
  } else if (decision.kind == BeginDecision::Kind::kNotRun) {
    call->told_not_run = true;
    if (call->executed) {
      Violation("answered as not run after it ran");
    }
    if (decision.scope == NotRunScope::kKey) {
      ++coverage_.not_run_key;
      action.told_never = true;
      if (action.executions > 0) {
        Violation("key answered as not run after it ran");
      }
    } else {
      ++coverage_.not_run_request;
    }
  } else {
    ++coverage_.unknown;
  }
}

void OneTimeModel::Dispatch(ProcessPtr owner,
                            CallPtr call,
                            const OneTimeKey& key,
                            uint32_t attempt) {
  const int node = AnyNode();
  const auto& known = *nodes_[owner->node].routes->nodes;
  const auto location = known.find(NodeName(node));
  if (nodes_[node].process == nullptr || location == known.end()) {
    // Connect refused: nothing was sent.
    AtResult(owner, call, key, attempt, Result::kNotStarted);
    return;
  }
  const AttemptId id =
      owner->numbers.Next(NodeName(node), location->second.incarnation);
  Note(fmt::format("{} dispatches action {} as {} to {}", NodeName(owner->node),
                   call->action, id.ToText(), NodeName(node)));
  const auto reply = [this, owner, call, key, attempt](Result result) {
    Send(owner, [this, owner, call, key, attempt, result] {
      AtResult(owner, call, key, attempt, result);
    });
  };
  Request(node, [this, call, id, reply](ProcessPtr target) {
    AtTarget(target, call, id, reply);
  });
  // The home loses patience: it asks what became of the attempt, or gives up.
  Later(owner, [this, owner, node, call, key, attempt, id, reply] {
    if (Chance(50)) {
      Request(node, [this, id, reply](ProcessPtr target) {
        const auto verdict = rules_->Settle(&target->guard, id, now_);
        Note(fmt::format("{} settles {}: {}", NodeName(target->node),
                         id.ToText(), static_cast<int>(verdict)));
        reply(verdict == AttemptGuard::Decision::kNotStarted
                  ? Result::kNotStarted
                  : Result::kTooOld);
      });
    } else if (Chance(50)) {
      AtResult(owner, call, key, attempt, Result::kTooOld);
    }
  });
}

void OneTimeModel::AtTarget(ProcessPtr target,
                            CallPtr call,
                            const AttemptId& id,
                            std::function<void(Result)> reply) {
  const auto verdict =
      rules_->Admit(&target->guard, id, target->records.incarnation(), now_);
  Note(fmt::format("{} admits {}: {}", NodeName(target->node), id.ToText(),
                   static_cast<int>(verdict)));
  switch (verdict) {
    case AttemptGuard::Decision::kStart:
      if (Chance(25)) {
        // Dropped from the queue.
        target->guard.Withdraw(id);
        reply(Result::kNotStarted);
      } else {
        Later(target, [this, call, reply] {
          Execute(call);
          reply(Result::kDone);
        });
      }
      return;
    case AttemptGuard::Decision::kNotStarted:
      reply(Result::kNotStarted);
      return;
    case AttemptGuard::Decision::kTooOld:
      reply(Result::kTooOld);
      return;
    case AttemptGuard::Decision::kAlreadyStarted:
      return;
  }
}

void OneTimeModel::Execute(CallPtr call) {
  Action& action = actions_[call->action];
  ++coverage_.executed;
  Note(fmt::format("action {} runs", call->action));
  call->executed = true;
  if (++action.executions > 1) {
    Violation("second execution");
  }
  if (action.told_never) {
    Violation("ran after its key was answered as not run");
  }
  if (call->told_not_run) {
    Violation("ran after it was answered as not run");
  }
}

void OneTimeModel::AtResult(ProcessPtr owner,
                            CallPtr call,
                            const OneTimeKey& key,
                            uint32_t attempt,
                            Result result) {
  Note(fmt::format("{} learns {} of attempt {} of action {}",
                   NodeName(owner->node), static_cast<int>(result), attempt,
                   call->action));
  bool ended = false;
  if (result == Result::kDone) {
    ended = owner->records.FinishDone(
        key, attempt,
        std::make_shared<const RecordedResponse>(
            RecordedResponse{200, {}, actions_[call->action].name}),
        now_);
  } else if (result == Result::kTooOld) {
    ended = owner->records.FinishUnknown(key, attempt, now_);
  } else {
    if (Chance(50)) {
      if (const auto next = owner->records.Retry(key, attempt)) {
        Dispatch(owner, call, key, *next);
        return;
      }
    }
    ended = owner->records.FinishNotRun(key, attempt, now_);
  }
  if (ended) {
    Wake(owner, key);
  }
}

void OneTimeModel::Wake(ProcessPtr owner, const OneTimeKey& key) {
  const auto waiting = std::move(owner->waiting[key.id]);
  owner->waiting.erase(key.id);
  for (const auto& wake : waiting) {
    wake();
  }
}

}  // namespace dragonflytack
