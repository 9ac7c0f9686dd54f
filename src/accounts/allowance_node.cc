#include "accounts/allowance_node.h"

#include <algorithm>
#include <utility>

#include "accounts/allowance_timing.h"

namespace dragonflytack {

namespace {

// An agent asks a home node without reports only if it has sent nothing else
// for this time.
constexpr Milliseconds kQuietTime{1'000};

}  // namespace

AllowanceNode::AllowanceNode(NodeId self,
                             uint64_t incarnation,
                             const AllowanceBounds& bounds)
    : self_(std::move(self)),
      incarnation_(incarnation),
      ledger_(self_, bounds),
      agents_(self_) {}

void AllowanceNode::SetNodes(const std::vector<AllowanceHomes::Node>& nodes,
                             TimePoint now) {
  const AllowanceHomes former = homes_;
  if (homes_.SetNodes(nodes)) {
    ledger_.OnHomesChanged(former, now);
  }
  const auto self =
      std::find_if(nodes.begin(), nodes.end(),
                   [this](const auto& node) { return node.id == self_; });
  std::vector<AllowanceHomes::Node> neighbours;
  if (self != nodes.end()) {
    std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(neighbours),
                 [&](const auto& node) {
                   return node.data_centre == self->data_centre;
                 });
  }
  agents_.SetNodes(neighbours);
  LeaveAgent(now);
  Flush(now);
}

void AllowanceNode::OnNodeEnded(const NodeId& node, TimePoint now) {
  ledger_.OnNodeEnded(node);
  if (homes_.Contains(node)) {
    homes_.OnNodeEnded(node, now);
  }
  if (agents_.Contains(node)) {
    agents_.OnNodeEnded(node, now);
    LeaveAgent(now);
  }
  Flush(now);
}

AllowanceGate& AllowanceNode::GateOf(Channel channel) {
  switch (channel) {
    case Channel::kEntryToAgent:
      return agent_gate_;
    case Channel::kEntryToHome:
      return direct_gate_;
    case Channel::kAgentToHome:
      break;
  }
  return agent_.gate();
}

AllowanceGate::Answer AllowanceNode::Ask(const std::string& account,
                                         const AllowanceLimit& limit,
                                         TimePoint now,
                                         uint64_t* ticket) {
  *ticket = 0;
  AllowanceGate* const gate = HasAgent() ? &agent_gate_ : &direct_gate_;
  if (gate == &direct_gate_) {
    direct_gate_.CopyStatement(agent_gate_, account);
  }
  const AllowanceGate::Answer answer = gate->Ask(account, limit, now);
  if (answer.decision != AllowanceGate::Decision::kWaits) {
    return answer;
  }
  const uint64_t number = next_ticket_++;
  waiting_.emplace(number,
                   WaitingCall{account, limit, gate, now + kAllowanceMaxWait,
                               next_order_++, now + kAllowanceDirectTime});
  Flush(now);
  // This node may be the agent or the home node itself.
  const auto decided = std::find_if(
      decisions_.begin(), decisions_.end(),
      [number](const Decision& decision) { return decision.ticket == number; });
  if (decided != decisions_.end()) {
    const AllowanceGate::Answer decision = decided->answer;
    decisions_.erase(decided);
    return decision;
  }
  *ticket = number;
  return answer;
}

void AllowanceNode::Cancel(uint64_t ticket) {
  const auto found = waiting_.find(ticket);
  if (found != waiting_.end()) {
    found->second.gate->Abandon(found->second.account);
    waiting_.erase(found);
  }
}

void AllowanceNode::Decide(uint64_t ticket, TimePoint now) {
  const auto found = waiting_.find(ticket);
  WaitingCall call = std::move(found->second);
  waiting_.erase(found);
  const AllowanceGate::Answer answer = call.gate->Resolve(call.account, now);
  decisions_.push_back({ticket, std::move(call.account), answer});
}

void AllowanceNode::Resolve(const AllowanceGate& gate,
                            const std::string& account,
                            uint64_t last_order,
                            bool is_pending,
                            TimePoint now) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const uint64_t ticket = it->first;
    const WaitingCall& call = it->second;
    ++it;
    if (call.order > last_order || call.gate != &gate ||
        call.account != account) {
      continue;
    }
    if (is_pending && !call.gate->HasPermit(account, now)) {
      return;
    }
    Decide(ticket, now);
  }
}

uint64_t AllowanceNode::OnRequest(AllowanceRequest request, TimePoint now) {
  const uint64_t id = next_request_++;
  if (!request.is_to_agent) {
    replies_.push_back({id, ledger_.OnRequest(request, now)});
    return id;
  }
  if (!agent_.OnRequest(request, now)) {
    replies_.push_back({id, {}});
    return id;
  }
  held_.emplace(id, Held{std::move(request), now + kAllowanceAgentHoldTime, 0});
  Flush(now);
  return id;
}

void AllowanceNode::AbandonRequest(uint64_t id, TimePoint now) {
  const auto found = held_.find(id);
  if (found != held_.end()) {
    agent_.Abandon(found->second.request, now);
    held_.erase(found);
  }
}

bool AllowanceNode::ReplyToHeld(TimePoint now) {
  bool has_replied = false;
  for (auto it = held_.begin(); it != held_.end();) {
    Held& held = it->second;
    if (now < held.deadline && !agent_.CanRespond(held.request, now)) {
      ++it;
      continue;
    }
    has_replied = true;
    const uint64_t id = it->first;
    const uint64_t own_message = held.own_message;
    AllowanceResponse response = agent_.Respond(held.request, now);
    it = held_.erase(it);
    if (own_message == 0) {
      replies_.push_back({id, std::move(response)});
      continue;
    }
    OnResponse(own_message, response, now);
    // It may have sent and answered others.
    return true;
  }
  return has_replied;
}

void AllowanceNode::Flush(TimePoint now) {
  if (is_flushing_) {
    return;
  }
  is_flushing_ = true;
  direct_gate_.set_is_fallback(HasAgent());
  agent_.EndLeases(now);
  // Requests to this node itself are answered at once, so each step may make
  // another one due.
  bool has_work = true;
  while (has_work) {
    has_work = SendDue(Channel::kEntryToAgent, now);
    has_work |= ReplyToHeld(now);
    has_work |= SendDue(Channel::kEntryToHome, now);
    has_work |= SendDue(Channel::kAgentToHome, now);
  }
  is_flushing_ = false;
}

bool AllowanceNode::SendDue(Channel channel, TimePoint now) {
  const AllowanceHomes& receivers =
      channel == Channel::kEntryToAgent ? agents_ : homes_;
  AllowanceGate& gate = GateOf(channel);
  bool has_sent = false;
  for (const NodeId& to : gate.DueHomes(receivers, now)) {
    if (IsInFlight(channel, to)) {
      continue;
    }
    std::vector<AllowanceReport> reports = gate.TakeReports(receivers, to, now);
    if (!reports.empty()) {
      Send(channel, to, std::move(reports), now);
      has_sent = true;
    }
  }
  return has_sent;
}

bool AllowanceNode::IsInFlight(Channel channel, const NodeId& to) const {
  return std::any_of(sent_.begin(), sent_.end(), [&](const auto& item) {
    return item.second.channel == channel && item.second.to == to;
  });
}

void AllowanceNode::Send(Channel channel,
                         const NodeId& to,
                         std::vector<AllowanceReport> reports,
                         TimePoint now) {
  const bool is_to_agent = channel == Channel::kEntryToAgent;
  AllowanceRequest request{
      channel == Channel::kAgentToHome ? AllowanceAgentHolder(self_) : self_,
      incarnation_, ++sequence_, std::move(reports), is_to_agent};
  Sent sent{channel, to, {}, now, next_order_ - 1};
  for (const AllowanceReport& report : request.reports) {
    sent.accounts.push_back(report.account);
  }
  const uint64_t id = request.sequence;
  sent_.emplace(id, std::move(sent));
  if (to != self_) {
    if (!is_to_agent) {
      last_sent_[to] = now;
    }
    // Requests without reports are repeated often enough for
    // kAllowanceReturnTime.
    Milliseconds timeout = kAllowanceResponseTime;
    if (channel != Channel::kEntryToHome && !request.reports.empty()) {
      timeout = is_to_agent ? kAllowanceAgentResponseTime
                            : kAllowanceHomeResponseTime;
    }
    messages_.push_back({id, to, timeout, std::move(request)});
  } else if (is_to_agent) {
    agent_.OnRequest(request, now);
    held_.emplace(next_request_++,
                  Held{std::move(request), now + kAllowanceAgentHoldTime, id});
  } else {
    OnResponse(id, ledger_.OnRequest(request, now), now);
  }
}

void AllowanceNode::OnResponse(uint64_t message,
                               const AllowanceResponse& response,
                               TimePoint now) {
  const auto found = sent_.find(message);
  if (found == sent_.end()) {
    return;
  }
  const Sent sent = std::move(found->second);
  sent_.erase(found);
  AllowanceGate& gate = GateOf(sent.channel);
  (sent.channel == Channel::kEntryToAgent ? agents_ : homes_)
      .OnResponse(sent.to);
  gate.OnResponse(sent.to, response, sent.time, now);
  if (sent.channel == Channel::kAgentToHome) {
    agent_.OnResponse(response, now);
  } else {
    for (const AllowanceGrant& grant : response.grants) {
      Resolve(gate, grant.account, sent.last_order,
              grant.relay && grant.retry_after == Milliseconds(0), now);
      if (sent.channel == Channel::kEntryToAgent) {
        UseAgentPermits(grant.account, now);
      }
    }
  }
  Flush(now);
}

void AllowanceNode::OnNoResponse(uint64_t message, TimePoint now) {
  const auto found = sent_.find(message);
  if (found == sent_.end()) {
    return;
  }
  const Sent sent = std::move(found->second);
  sent_.erase(found);
  GateOf(sent.channel).OnNoResponse(sent.accounts);
  if (sent.channel == Channel::kEntryToAgent) {
    agents_.OnNoResponse(sent.to, now);
    LeaveAgent(now);
  } else {
    homes_.OnNoResponse(sent.to, now);
  }
  Flush(now);
}

void AllowanceNode::LeaveAgent(TimePoint now) {
  if (HasAgent()) {
    return;
  }
  std::vector<uint64_t> moved;
  for (const auto& [ticket, call] : waiting_) {
    if (call.gate == &agent_gate_) {
      moved.push_back(ticket);
    }
  }
  for (const uint64_t ticket : moved) {
    AskDirectly(ticket, now);
  }
}

void AllowanceNode::AskDirectly(uint64_t ticket, TimePoint now) {
  WaitingCall& call = waiting_.at(ticket);
  agent_gate_.Abandon(call.account);
  call.gate = &direct_gate_;
  call.order = next_order_++;
  direct_gate_.CopyStatement(agent_gate_, call.account);
  const AllowanceGate::Answer answer =
      direct_gate_.Ask(call.account, call.limit, now);
  if (answer.decision != AllowanceGate::Decision::kWaits) {
    decisions_.push_back({ticket, call.account, answer});
    waiting_.erase(ticket);
  }
}

void AllowanceNode::UseAgentPermits(const std::string& account, TimePoint now) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    WaitingCall& call = it->second;
    const uint64_t ticket = it->first;
    ++it;
    if (call.gate == &direct_gate_ && call.account == account &&
        agent_gate_.HasPermit(account, now)) {
      direct_gate_.Abandon(account);
      decisions_.push_back(
          {ticket, account, agent_gate_.Ask(account, call.limit, now)});
      waiting_.erase(ticket);
    }
  }
}

void AllowanceNode::SendProbes(TimePoint now) {
  if (entry_account_count() > 0) {
    for (const NodeId& agent : agents_.TakeSilent(now)) {
      if (!IsInFlight(Channel::kEntryToAgent, agent)) {
        Send(Channel::kEntryToAgent, agent, {}, now);
      }
    }
  }
  const bool is_agent = agent_.gate().account_count() > 0;
  const Channel channel =
      is_agent ? Channel::kAgentToHome : Channel::kEntryToHome;
  // An entry node with an agent asks the silent home nodes too, or its direct
  // requests would go to a later home node after the first one is back.
  std::vector<NodeId> homes;
  if (is_agent || (direct_gate_.account_count() > 0 && !HasAgent())) {
    homes = homes_.TakeProbes(now);
  } else if (entry_account_count() > 0) {
    homes = homes_.TakeSilent(now);
  }
  for (const NodeId& home : homes) {
    const auto last = last_sent_.find(home);
    const bool is_quiet = !is_agent || last == last_sent_.end() ||
                          now - last->second >= kQuietTime ||
                          homes_.IsSilent(home);
    if (home != self_ && is_quiet && !IsInFlight(channel, home)) {
      Send(channel, home, {}, now);
    }
  }
}

void AllowanceNode::Tick(TimePoint now) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const uint64_t ticket = it->first;
    WaitingCall& call = it->second;
    ++it;
    if (call.deadline <= now) {
      Decide(ticket, now);
    } else if (call.gate == &agent_gate_ && call.direct_at <= now) {
      // A later home node is left to the agent, which has the share.
      call.direct_at = call.deadline;
      if (homes_.Find(call.account).skipped > 0) {
        continue;
      }
      AskDirectly(ticket, now);
    }
  }
  SendProbes(now);
  Flush(now);
}

void AllowanceNode::Sweep(TimePoint now) {
  agent_gate_.Sweep(now);
  direct_gate_.Sweep(now);
  agent_.Sweep(now);
  ledger_.Sweep(now);
}

std::optional<TimePoint> AllowanceNode::NextDeadline() const {
  std::optional<TimePoint> next;
  for (const auto& [ticket, call] : waiting_) {
    const TimePoint time =
        call.gate == &agent_gate_ ? call.direct_at : call.deadline;
    next = std::min(next.value_or(time), time);
  }
  for (const auto& [id, held] : held_) {
    next = std::min(next.value_or(held.deadline), held.deadline);
  }
  return next;
}

}  // namespace dragonflytack
