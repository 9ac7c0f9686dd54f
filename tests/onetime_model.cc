#include "onetime_model.h"

#include <fmt/format.h>

#include "onetime/key_location.h"
#include "onetime/recorded_response.h"

namespace dragonflytack {

namespace {

constexpr int kSteps = 60;
constexpr int kActions = 2;
constexpr int kMaxPresented = 4;
constexpr int64_t kWallMillis = 1'700'000'000'000;
constexpr std::string_view kSecret = "model";

}  // namespace

OneTimeModel::Process::Process(int node,
                               uint64_t incarnation,
                               int64_t wall_ms,
                               TimePoint now)
    : node(node),
      records(NodeName(node),
              incarnation,
              wall_ms,
              now,
              {.max_records = 1, .retention = std::chrono::minutes(1)}),
      guard(incarnation),
      attempt_ids(NodeName(node), incarnation) {}

OneTimeModel::OneTimeModel(uint64_t seed, ModelRules* rules, bool keep_steps)
    : random_(seed), rules_(rules), keep_steps_(keep_steps) {
  auto routes = std::make_shared<RouteSnapshot>();
  routes->nodes =
      std::make_shared<const std::unordered_map<NodeId, NodeLocation>>();
  routes->successors =
      std::make_shared<const std::map<OwnerIncarnation, NodeId>>();
  published_routes_ = routes;
  nodes_.resize(kNodes);
  for (int node = 0; node < kNodes; ++node) {
    Start(node);
  }
  for (Node& node : nodes_) {
    node.routes = published_routes_;
  }
}

void OneTimeModel::RecordStep(const std::string& step) {
  if (keep_steps_) {
    steps_.push_back(step);
  }
}

void OneTimeModel::Violation(const std::string& description) {
  RecordStep("VIOLATION " + description);
  if (violation_.empty()) {
    violation_ = description;
  }
}

void OneTimeModel::Publish(const std::function<void(RouteSnapshot*)>& change) {
  auto routes = std::make_shared<RouteSnapshot>(*published_routes_);
  change(routes.get());
  published_routes_ = routes;
}

void OneTimeModel::SetLocation(RouteSnapshot* routes, int node, bool alive) {
  auto locations = std::make_shared<std::unordered_map<NodeId, NodeLocation>>(
      *routes->nodes);
  NodeLocation& location = (*locations)[NodeName(node)];
  location.id = NodeName(node);
  location.liveness = alive ? Liveness::kAlive : Liveness::kDead;
  if (alive) {
    location.incarnation = nodes_[node].process->records.incarnation();
  }
  routes->nodes = locations;
}

void OneTimeModel::Start(int node) {
  constexpr int64_t kJumpMillis = 3'600'000;
  const int64_t wall = kWallMillis + int64_t(random_.Below(2 * kJumpMillis));
  auto process =
      std::make_shared<Process>(node, next_incarnation_++, wall, now_);
  process->receiver = std::make_unique<HandoverReceiver>(
      &process->records, [this, node](const OwnerIncarnation& owner) {
        ++coverage_.takeovers;
        RecordStep(fmt::format("{} takes over {}/{}", NodeName(node),
                               owner.first, owner.second));
        Publish([&](RouteSnapshot* routes) {
          auto successors =
              std::make_shared<std::map<OwnerIncarnation, NodeId>>(
                  *routes->successors);
          (*successors)[owner] = NodeName(node);
          routes->successors = successors;
        });
      });
  nodes_[node].process = process;
  nodes_[node].paused = false;
  Publish([&](RouteSnapshot* routes) { SetLocation(routes, node, true); });
  nodes_[node].routes = published_routes_;
  RecordStep(fmt::format("{} starts as {}", NodeName(node),
                         process->records.incarnation()));
}

void OneTimeModel::Schedule(ProcessPtr to, std::function<void()> deliver) {
  const int node = to->node;
  messages_.push_back(
      {node, [this, to = std::move(to), deliver = std::move(deliver)] {
         if (IsRunning(to)) {
           deliver();
         }
       }});
}

void OneTimeModel::SendReply(ProcessPtr to, std::function<void()> deliver) {
  if (Chance(12)) {
    return;
  }
  if (Chance(15)) {
    Schedule(to, deliver);
  }
  Schedule(std::move(to), std::move(deliver));
}

void OneTimeModel::SendRequest(int node,
                               std::function<void(ProcessPtr)> deliver) {
  if (Chance(12)) {
    return;
  }
  const int copies = Chance(15) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    messages_.push_back({node, [this, node, deliver] {
                           if (nodes_[node].process != nullptr) {
                             deliver(nodes_[node].process);
                           }
                         }});
  }
}

void OneTimeModel::DeliverOne() {
  if (messages_.empty()) {
    return;
  }
  const size_t pick = random_.Below(messages_.size());
  const int to = messages_[pick].to;
  if (to != kStore && nodes_[to].paused) {
    return;
  }
  std::swap(messages_[pick], messages_.back());
  const Message message = std::move(messages_.back());
  messages_.pop_back();
  message.deliver();
}

void OneTimeModel::Stop(int node) {
  const ProcessPtr process = nodes_[node].process;
  RecordStep(fmt::format("{} drains", NodeName(node)));
  process->records.BeginDrain();
  Schedule(process, [this, process] {
    std::vector<NodeLocation> candidates;
    const int first = RandomNode();
    for (int i = 0; i < kNodes; ++i) {
      const NodeId id = NodeName((first + i) % kNodes);
      const auto& known = *nodes_[process->node].routes->nodes;
      if (id != NodeName(process->node) && known.contains(id)) {
        candidates.push_back(known.at(id));
      }
    }
    process->sender =
        std::make_unique<HandoverSender>(&process->records, candidates);
    SendNextHandoverMessage(process);
  });
}

void OneTimeModel::SendNextHandoverMessage(ProcessPtr process) {
  auto outgoing = process->sender->Next(now_);
  const int request = ++process->handover_request;
  if (!outgoing) {
    RecordStep(fmt::format("{} has stopped", NodeName(process->node)));
    Publish([&](RouteSnapshot* routes) {
      auto successors = std::make_shared<std::map<OwnerIncarnation, NodeId>>(
          *routes->successors);
      for (const auto& [owner, successor] : process->sender->committed_to()) {
        // The successor may have published its takeover already.
        successors->try_emplace(owner, successor);
      }
      routes->successors = successors;
      SetLocation(routes, process->node, false);
    });
    nodes_[process->node].process = nullptr;
    return;
  }
  SendRequest(NodeIndex(outgoing->to.id), [this, process, request,
                                           message = outgoing->message](
                                              ProcessPtr to) mutable {
    message.time_ms = rules_->HandoverTime(message.time_ms);
    const HandoverReply reply = to->receiver->OnMessage(message, now_);
    RecordStep(fmt::format(
        "{} receives {} {} of {}/{} from {}: reply {}", NodeName(to->node),
        message.kind == HandoverMessage::Kind::kCommit ? "commit" : "chunk",
        message.index, message.owner.first, message.owner.second,
        message.from.first, static_cast<int>(reply)));
    SendReply(process, [this, process, request, reply] {
      if (process->handover_request == request) {
        process->sender->OnReply(reply, now_);
        SendNextHandoverMessage(process);
      }
    });
  });
  Schedule(process, [this, process, request] {
    if (process->handover_request == request) {
      rules_->OnHandoverReplyLost(process->sender.get(), now_);
      SendNextHandoverMessage(process);
    }
  });
}

void OneTimeModel::PresentKey(int action, int node) {
  auto call = std::make_shared<Call>();
  call->action = action;
  call->entry = nodes_[node].process;
  ++actions_[action].presented;
  RecordStep(fmt::format("action {} at {}", action, NodeName(node)));
  if (actions_[action].key) {
    Route(call, *actions_[action].key);
    return;
  }
  call->claim = std::make_unique<Claim>(
      actions_[action].name,
      call->entry->records.NewKey(now_, std::chrono::minutes(60)),
      std::string(kSecret));
  OnClaimStep(call, call->claim->Start());
}

void OneTimeModel::OnClaimStep(CallPtr call, Claim::Step step) {
  switch (step) {
    case Claim::Step::kPut:
    case Claim::Step::kGet:
      CallStore(call, step == Claim::Step::kPut);
      return;
    case Claim::Step::kUseKey:
      Route(call, call->claim->key());
      return;
    case Claim::Step::kRefuse:
      Respond(call, {.kind = BeginDecision::Kind::kNotRun,
                     .scope = NotRunScope::kRequest});
      return;
    case Claim::Step::kUnknown:
      Respond(call, {.kind = BeginDecision::Kind::kUnknown});
      return;
  }
}

void OneTimeModel::CallStore(CallPtr call, bool put) {
  const int request = ++call->store_request;
  const auto reply = [this, call, request, put](
                         std::optional<StoreObject> object, FailureCode code) {
    Schedule(call->entry, [this, call, request, put, object, code] {
      if (call->store_request != request || call->responded) {
        return;
      }
      // A response that arrives after the timeout of this request is ignored.
      ++call->store_request;
      const Failure reason{code, "store", ""};
      std::optional<StoreVersion> version;
      if (object) {
        version = object->version;
      }
      OnClaimStep(call, put ? call->claim->OnPut(version, reason)
                            : call->claim->OnGet(object, reason));
    });
  };
  if (store_down_) {
    reply(std::nullopt, FailureCode::kStoreUnreachable);
    return;
  }
  // The write may take effect before or after the timeout, and its response may
  // be lost.
  messages_.push_back(
      {kStore,
       [this, reply, put, name = call->claim->object(),
        value = call->claim->value(), if_version = call->claim->if_version()] {
         StoreObject& object = store_[name];
         if (!put) {
           reply(object, FailureCode::kNone);
         } else if (rules_->WriteCondition(if_version, object.version) ==
                    object.version) {
           object = {name, value, ++store_version_};
           if (if_version != 0) {
             ++coverage_.claim_takeovers;
           }
           RecordStep(fmt::format("store: {} = {}", name, value));
           if (!Chance(20)) {
             reply(object, FailureCode::kNone);
           }
         } else {
           reply(std::nullopt, FailureCode::kConflict);
         }
       }});
  if (Chance(20)) {
    reply(std::nullopt, FailureCode::kStoreTimeout);
  }
}

void OneTimeModel::Step() {
  const int node = RandomNode();
  const ProcessPtr process = nodes_[node].process;
  const uint64_t roll = random_.Below(100);
  if (roll < 62) {
    DeliverOne();
  } else if (roll < 76) {
    const int action = int(random_.Below(kActions));
    if (process != nullptr && !nodes_[node].paused &&
        actions_[action].presented < kMaxPresented) {
      PresentKey(action, node);
    }
  } else if (roll < 83) {
    nodes_[node].routes = published_routes_;
  } else if (roll < 87) {
    if (process != nullptr && !nodes_[node].paused &&
        !process->records.draining()) {
      Stop(node);
    }
  } else if (roll < 89) {
    if (process != nullptr) {
      RecordStep(NodeName(node) + " crashes");
      nodes_[node].process = nullptr;
      if (Chance(50)) {
        Publish(
            [&](RouteSnapshot* routes) { SetLocation(routes, node, false); });
      }
    }
  } else if (roll < 93) {
    if (process == nullptr) {
      Start(node);
    }
  } else if (roll < 95) {
    nodes_[node].paused = !nodes_[node].paused;
  } else if (roll < 97) {
    store_down_ = !store_down_;
  } else {
    now_ += std::chrono::minutes(random_.Below(12));
    if (process != nullptr) {
      process->records.Sweep(now_);
      process->receiver->Sweep(now_);
    }
  }
}

std::string OneTimeModel::Run() {
  for (int i = 0; i < kActions; ++i) {
    Action action{.name = fmt::format("action{}", i),
                  .request_digest = uint64_t(i) + 1};
    if (Chance(60)) {
      action.key = nodes_[RandomNode()].process->records.NewKey(
          now_, std::chrono::minutes(10));
    }
    actions_.push_back(std::move(action));
  }
  for (int i = 0; i < kSteps && violation_.empty(); ++i) {
    Step();
  }
  // Deliver the delayed copies.
  for (Node& node : nodes_) {
    node.paused = false;
  }
  for (int i = 0; i < kSteps && violation_.empty() && !messages_.empty(); ++i) {
    DeliverOne();
  }
  return violation_;
}

}  // namespace dragonflytack
