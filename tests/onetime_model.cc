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
      numbers(NodeName(node), incarnation) {}

OneTimeModel::OneTimeModel(uint64_t seed, ModelRules* rules, bool keep_steps)
    : random_(seed), rules_(rules), keep_steps_(keep_steps) {
  auto routes = std::make_shared<RouteSnapshot>();
  routes->nodes =
      std::make_shared<const std::unordered_map<NodeId, NodeLocation>>();
  routes->successors =
      std::make_shared<const std::map<OwnerIncarnation, NodeId>>();
  fleet_ = routes;
  nodes_.resize(kNodes);
  for (int node = 0; node < kNodes; ++node) {
    Start(node);
  }
  for (Node& node : nodes_) {
    node.routes = fleet_;
  }
}

void OneTimeModel::Note(const std::string& step) {
  if (keep_steps_) {
    steps_.push_back(step);
  }
}

void OneTimeModel::Violation(const std::string& what) {
  Note("VIOLATION " + what);
  if (violation_.empty()) {
    violation_ = what;
  }
}

void OneTimeModel::Publish(const std::function<void(RouteSnapshot*)>& change) {
  auto routes = std::make_shared<RouteSnapshot>(*fleet_);
  change(routes.get());
  fleet_ = routes;
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
        ++coverage_.inherited;
        Note(fmt::format("{} inherits {}/{}", NodeName(node), owner.first,
                         owner.second));
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
  nodes_[node].routes = fleet_;
  Note(fmt::format("{} starts as {}", NodeName(node),
                   process->records.incarnation()));
}

void OneTimeModel::Later(ProcessPtr to, std::function<void()> deliver) {
  const int node = to->node;
  messages_.push_back(
      {node, [this, to = std::move(to), deliver = std::move(deliver)] {
         if (Runs(to)) {
           deliver();
         }
       }});
}

void OneTimeModel::Send(ProcessPtr to, std::function<void()> deliver) {
  if (Chance(12)) {
    return;
  }
  if (Chance(15)) {
    Later(to, deliver);
  }
  Later(std::move(to), std::move(deliver));
}

void OneTimeModel::Request(int node, std::function<void(ProcessPtr)> deliver) {
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
  Note(fmt::format("{} drains", NodeName(node)));
  process->records.BeginDrain();
  Later(process, [this, process] {
    std::vector<NodeLocation> candidates;
    const int first = AnyNode();
    for (int i = 0; i < kNodes; ++i) {
      const NodeId id = NodeName((first + i) % kNodes);
      const auto& known = *nodes_[process->node].routes->nodes;
      if (id != NodeName(process->node) && known.contains(id)) {
        candidates.push_back(known.at(id));
      }
    }
    process->sender =
        std::make_unique<HandoverSender>(&process->records, candidates);
    Pump(process);
  });
}

void OneTimeModel::Pump(ProcessPtr process) {
  auto outgoing = process->sender->Next(now_);
  const int request = ++process->handover_request;
  if (!outgoing) {
    Note(fmt::format("{} ends", NodeName(process->node)));
    Publish([&](RouteSnapshot* routes) {
      auto successors = std::make_shared<std::map<OwnerIncarnation, NodeId>>(
          *routes->successors);
      for (const auto& [owner, successor] : process->sender->handed()) {
        // The successor's own announcement may have been passed on already.
        successors->try_emplace(owner, successor);
      }
      routes->successors = successors;
      SetLocation(routes, process->node, false);
    });
    nodes_[process->node].process = nullptr;
    return;
  }
  Request(NodeIndex(outgoing->to.id), [this, process, request,
                                       message = outgoing->message](
                                          ProcessPtr to) mutable {
    message.time_ms = rules_->HandoverTime(message.time_ms);
    const HandoverReply reply = to->receiver->OnMessage(message, now_);
    Note(fmt::format(
        "{} gets {} {} of {}/{} from {}: reply {}", NodeName(to->node),
        message.kind == HandoverMessage::Kind::kCommit ? "commit" : "chunk",
        message.index, message.owner.first, message.owner.second,
        message.from.first, static_cast<int>(reply)));
    Send(process, [this, process, request, reply] {
      if (process->handover_request == request) {
        process->sender->OnReply(reply, now_);
        Pump(process);
      }
    });
  });
  Later(process, [this, process, request] {
    if (process->handover_request == request) {
      rules_->HandoverLost(process->sender.get(), now_);
      Pump(process);
    }
  });
}

void OneTimeModel::Present(int action, int node) {
  auto call = std::make_shared<Call>();
  call->action = action;
  call->entry = nodes_[node].process;
  ++actions_[action].presented;
  Note(fmt::format("action {} at {}", action, NodeName(node)));
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
      Store(call, step == Claim::Step::kPut);
      return;
    case Claim::Step::kFollow:
      Route(call, call->claim->key());
      return;
    case Claim::Step::kRefuse:
      Answer(call, {.kind = BeginDecision::Kind::kNotRun,
                    .scope = NotRunScope::kRequest});
      return;
    case Claim::Step::kUnknown:
      Answer(call, {.kind = BeginDecision::Kind::kUnknown});
      return;
  }
}

void OneTimeModel::Store(CallPtr call, bool put) {
  const int request = ++call->store_request;
  const auto reply = [this, call, request, put](
                         std::optional<StoreObject> object, FailureCode code) {
    Later(call->entry, [this, call, request, put, object, code] {
      if (call->store_request != request || call->answered) {
        return;
      }
      // A late answer of this request is not taken after its timeout.
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
  // The write may take effect before or after the caller gave up, and its
  // answer may be lost.
  messages_.push_back(
      {kStore,
       [this, reply, put, name = call->claim->object(),
        value = call->claim->value(), if_version = call->claim->if_version()] {
         StoreObject& object = store_[name];
         if (!put) {
           reply(object, FailureCode::kNone);
         } else if (rules_->Condition(if_version, object.version) ==
                    object.version) {
           object = {name, value, ++store_version_};
           if (if_version != 0) {
             ++coverage_.taken_over;
           }
           Note(fmt::format("store: {} = {}", name, value));
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
  const int node = AnyNode();
  const ProcessPtr process = nodes_[node].process;
  const uint64_t dice = random_.Below(100);
  if (dice < 62) {
    DeliverOne();
  } else if (dice < 76) {
    const int action = int(random_.Below(kActions));
    if (process != nullptr && !nodes_[node].paused &&
        actions_[action].presented < kMaxPresented) {
      Present(action, node);
    }
  } else if (dice < 83) {
    nodes_[node].routes = fleet_;
  } else if (dice < 87) {
    if (process != nullptr && !nodes_[node].paused &&
        !process->records.draining()) {
      Stop(node);
    }
  } else if (dice < 89) {
    if (process != nullptr) {
      Note(NodeName(node) + " crashes");
      nodes_[node].process = nullptr;
      if (Chance(50)) {
        Publish(
            [&](RouteSnapshot* routes) { SetLocation(routes, node, false); });
      }
    }
  } else if (dice < 93) {
    if (process == nullptr) {
      Start(node);
    }
  } else if (dice < 95) {
    nodes_[node].paused = !nodes_[node].paused;
  } else if (dice < 97) {
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
                  .request = uint64_t(i) + 1};
    if (Chance(60)) {
      action.key = nodes_[AnyNode()].process->records.NewKey(
          now_, std::chrono::minutes(10));
    }
    actions_.push_back(std::move(action));
  }
  for (int i = 0; i < kSteps && violation_.empty(); ++i) {
    Step();
  }
  // Late copies arrive after all.
  for (Node& node : nodes_) {
    node.paused = false;
  }
  for (int i = 0; i < kSteps && violation_.empty() && !messages_.empty(); ++i) {
    DeliverOne();
  }
  return violation_;
}

}  // namespace dragonflytack
