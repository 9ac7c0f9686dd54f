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
    case KeyLocation::Kind::kLocal:
      HandleAtOwner(call->entry, call, key, ++call->request);
      return;
    case KeyLocation::Kind::kRemote:
      Forward(call, key, location.node.id);
      return;
    case KeyLocation::Kind::kLost:
      Respond(call, {.kind = BeginDecision::Kind::kUnknown});
      return;
  }
}

void OneTimeModel::Forward(CallPtr call,
                           const OneTimeKey& key,
                           const NodeId& node) {
  constexpr int kMaxHops = 4;
  if (nodes_[NodeIndex(node)].process == nullptr || ++call->hops > kMaxHops) {
    Respond(call, {.kind = BeginDecision::Kind::kUnknown});
    return;
  }
  const int request = ++call->request;
  SendRequest(NodeIndex(node), [this, call, key, request](ProcessPtr owner) {
    HandleAtOwner(owner, call, key, request);
  });
  Schedule(call->entry, [this, call] {
    if (Chance(30)) {
      Respond(call, {.kind = BeginDecision::Kind::kUnknown});
    }
  });
}

void OneTimeModel::HandleAtOwner(ProcessPtr owner,
                                 CallPtr call,
                                 const OneTimeKey& key,
                                 int request) {
  const BeginDecision decision = rules_->Begin(
      &owner->records, key, actions_[call->action].request_digest, now_);
  RecordStep(fmt::format("{} decides {} reason {} for action {}",
                         NodeName(owner->node), static_cast<int>(decision.kind),
                         BeginReasonName(decision.reason), call->action));
  const auto reply = [this, call, key, request](const BeginDecision& result) {
    SendReply(call->entry, [this, call, key, request, result] {
      // As with HTTP, a response belongs to one request.
      if (call->request == request) {
        HandleAtEntry(call, key, result);
      }
    });
  };
  if (decision.kind != BeginDecision::Kind::kDispatch &&
      decision.kind != BeginDecision::Kind::kWait) {
    reply(decision);
    return;
  }
  owner->waiting[key.id].push_back(
      [owner, key, reply] { reply(owner->records.RecordedDecision(key)); });
  if (decision.kind == BeginDecision::Kind::kDispatch) {
    Dispatch(owner, call, key, decision.attempt);
  }
}

void OneTimeModel::HandleAtEntry(CallPtr call,
                                 const OneTimeKey& key,
                                 BeginDecision decision) {
  if (call->responded) {
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
  Respond(call, decision);
}

void OneTimeModel::Respond(CallPtr call, const BeginDecision& decision) {
  if (call->responded) {
    return;
  }
  call->responded = true;
  Action& action = actions_[call->action];
  RecordStep(fmt::format("action {} gets response {} scope {}", call->action,
                         static_cast<int>(decision.kind),
                         static_cast<int>(decision.scope)));
  if (decision.kind == BeginDecision::Kind::kDone) {
    ++coverage_.done;
    if (action.executions != 1) {
      Violation("reported as done without an execution");
    }
    if (decision.response != nullptr &&
        decision.response->body != action.name) {
      Violation("response of another action");
    }
  } else if (decision.kind == BeginDecision::Kind::kNotRun) {
    call->reported_not_run = true;
    if (call->executed) {
      Violation("request reported as not run after it ran");
    }
    if (decision.scope == NotRunScope::kKey) {
      ++coverage_.not_run_key;
      action.key_reported_not_run = true;
      if (action.executions > 0) {
        Violation("key reported as not run after it ran");
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
  const int node = RandomNode();
  const auto& known = *nodes_[owner->node].routes->nodes;
  const auto location = known.find(NodeName(node));
  if (nodes_[node].process == nullptr || location == known.end()) {
    // The connection is refused, so nothing was sent.
    HandleResult(owner, call, key, attempt, Result::kNotStarted);
    return;
  }
  const AttemptId id =
      owner->attempt_ids.Next(NodeName(node), location->second.incarnation);
  RecordStep(fmt::format("{} dispatches action {} as {} to {}",
                         NodeName(owner->node), call->action, id.ToText(),
                         NodeName(node)));
  const auto reply = [this, owner, call, key, attempt](Result result) {
    SendReply(owner, [this, owner, call, key, attempt, result] {
      HandleResult(owner, call, key, attempt, result);
    });
  };
  SendRequest(node, [this, call, id, reply](ProcessPtr target) {
    HandleAtTarget(target, call, id, reply);
  });
  // The owner reaches its timeout: it queries the state of the attempt, or
  // records the outcome as unknown.
  Schedule(owner, [this, owner, node, call, key, attempt, id, reply] {
    if (Chance(50)) {
      SendRequest(node, [this, id, reply](ProcessPtr target) {
        const auto guard_decision =
            rules_->RefuseUnlessSeen(&target->guard, id, now_);
        RecordStep(fmt::format("{} reports the state of {}: {}",
                               NodeName(target->node), id.ToText(),
                               static_cast<int>(guard_decision)));
        reply(guard_decision == AttemptGuard::Decision::kNotStarted
                  ? Result::kNotStarted
                  : Result::kUnknown);
      });
    } else if (Chance(50)) {
      HandleResult(owner, call, key, attempt, Result::kUnknown);
    }
  });
}

void OneTimeModel::HandleAtTarget(ProcessPtr target,
                                  CallPtr call,
                                  const AttemptId& id,
                                  std::function<void(Result)> reply) {
  const auto guard_decision =
      rules_->Admit(&target->guard, id, target->records.incarnation(), now_);
  RecordStep(fmt::format("{} admits {}: {}", NodeName(target->node),
                         id.ToText(), static_cast<int>(guard_decision)));
  switch (guard_decision) {
    case AttemptGuard::Decision::kStart:
      if (Chance(25)) {
        // The call is dropped from the queue.
        target->guard.Withdraw(id);
        reply(Result::kNotStarted);
      } else {
        Schedule(target, [this, call, reply] {
          Execute(call);
          reply(Result::kDone);
        });
      }
      return;
    case AttemptGuard::Decision::kNotStarted:
      reply(Result::kNotStarted);
      return;
    case AttemptGuard::Decision::kTooOld:
      reply(Result::kUnknown);
      return;
    case AttemptGuard::Decision::kAlreadyStarted:
      return;
  }
}

void OneTimeModel::Execute(CallPtr call) {
  Action& action = actions_[call->action];
  ++coverage_.executed;
  RecordStep(fmt::format("action {} runs", call->action));
  call->executed = true;
  if (++action.executions > 1) {
    Violation("second execution");
  }
  if (action.key_reported_not_run) {
    Violation("ran after its key was reported as not run");
  }
  if (call->reported_not_run) {
    Violation("ran after its request was reported as not run");
  }
}

void OneTimeModel::HandleResult(ProcessPtr owner,
                                CallPtr call,
                                const OneTimeKey& key,
                                uint32_t attempt,
                                Result result) {
  RecordStep(fmt::format("{} receives result {} of attempt {} of action {}",
                         NodeName(owner->node), static_cast<int>(result),
                         attempt, call->action));
  bool finished = false;
  if (result == Result::kDone) {
    finished = owner->records.FinishDone(
        key, attempt,
        std::make_shared<const RecordedResponse>(
            RecordedResponse{200, {}, actions_[call->action].name}),
        now_);
  } else if (result == Result::kUnknown) {
    finished = owner->records.FinishUnknown(key, attempt, now_);
  } else {
    if (Chance(50)) {
      if (const auto next = owner->records.Retry(key, attempt)) {
        Dispatch(owner, call, key, *next);
        return;
      }
    }
    finished = owner->records.FinishNotRun(key, attempt, now_);
  }
  if (finished) {
    NotifyWaiters(owner, key);
  }
}

void OneTimeModel::NotifyWaiters(ProcessPtr owner, const OneTimeKey& key) {
  const auto waiting = std::move(owner->waiting[key.id]);
  owner->waiting.erase(key.id);
  for (const auto& notify : waiting) {
    notify();
  }
}

}  // namespace dragonflytack
