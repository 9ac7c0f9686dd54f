#include "accounts/allowance_agent.h"

#include <algorithm>
#include <iterator>

#include "accounts/allowance_timing.h"

namespace dragonflytack {

namespace {

// Part of the free permits that one entry node gets without a call that waits.
constexpr uint32_t kSpareDivisor = 2;

Milliseconds Until(TimePoint time, TimePoint now) {
  return std::max(std::chrono::duration_cast<Milliseconds>(time - now),
                  Milliseconds(0));
}

}  // namespace

void AllowanceAgent::EndLease(Holder* holder,
                              AllowanceAccount* account,
                              TimePoint now) {
  if (holder->lent == 0 || holder->lease_end > now) {
    return;
  }
  // The entry node may have used them until the end of its lease.
  account->used += holder->lent;
  account->lent -= holder->lent;
  holder->lent = 0;
}

void AllowanceAgent::UpdateShortage(const Holders& holders,
                                    AllowanceAccount* account,
                                    TimePoint now) {
  uint32_t waiting = 0;
  for (const auto& [node, holder] : holders) {
    waiting += holder.waiting;
  }
  account->waiting = now < account->blocked_until
                         ? 0
                         : waiting - std::min(waiting, account->permits);
}

void AllowanceAgent::OnResponse(const AllowanceResponse& response,
                                TimePoint now) {
  for (const AllowanceGrant& grant : response.grants) {
    AllowanceAccount* const account = gate_.Find(grant.account);
    const auto found = holders_.find(grant.account);
    if (account != nullptr && found != holders_.end()) {
      UpdateShortage(found->second, account, now);
    }
  }
}

bool AllowanceAgent::OnRequest(const AllowanceRequest& request, TimePoint now) {
  Sender& sender = senders_[request.from];
  if (request.incarnation < sender.incarnation ||
      (request.incarnation == sender.incarnation &&
       request.sequence <= sender.sequence)) {
    return false;
  }
  sender = {request.incarnation, request.sequence, now};
  for (const AllowanceReport& report : request.reports) {
    ReadReport(request, report, now);
  }
  return true;
}

void AllowanceAgent::ReadReport(const AllowanceRequest& request,
                                const AllowanceReport& report,
                                TimePoint now) {
  AllowanceAccount& account =
      gate_.FindOrCreate(report.account, report.limit, now);
  if (account.lease_end <= now) {
    account.permits = 0;
  }
  Holders& holders = holders_[report.account];
  const auto [found, is_new] = holders.try_emplace(request.from);
  Holder& holder = found->second;
  EndLease(&holder, &account, now);
  // Calls whose permits were counted at the end of their lease count twice: the
  // permits of the calls may be those of another agent.
  uint32_t used = report.used;
  // Permits of another agent are void here; that one counts them.
  uint32_t held = std::min(report.held, holder.lent);
  if (is_new || holder.incarnation != request.incarnation) {
    // The permits of an ended process may all have been used.
    used = report.used + holder.lent;
    held = 0;
    holder.incarnation = request.incarnation;
  }
  const uint32_t gone = holder.lent - held;
  account.lent -= gone;
  account.permits += gone - std::min(gone, used);
  account.used += used;
  account.asked += used;
  holder.lent = held;
  holder.waiting = report.waiting;
  if (used > 0 || report.waiting > 0) {
    account.last_call = now;
  }
  UpdateShortage(holders, &account, now);
}

bool AllowanceAgent::CanRespond(const AllowanceRequest& request,
                                TimePoint now) {
  bool has_waiting = false;
  for (const AllowanceReport& report : request.reports) {
    const AllowanceAccount* const account = gate_.Find(report.account);
    if (report.waiting == 0 || account == nullptr) {
      continue;
    }
    has_waiting = true;
    if (now < account->blocked_until ||
        (account->permits >= report.waiting && account->lease_end > now)) {
      return true;
    }
  }
  return !has_waiting;
}

AllowanceResponse AllowanceAgent::Respond(const AllowanceRequest& request,
                                          TimePoint now) {
  AllowanceResponse response;
  for (const AllowanceReport& report : request.reports) {
    response.grants.push_back(Grant(request, report, now));
  }
  return response;
}

AllowanceGrant AllowanceAgent::Grant(const AllowanceRequest& request,
                                     const AllowanceReport& report,
                                     TimePoint now) {
  AllowanceAccount& account =
      gate_.FindOrCreate(report.account, report.limit, now);
  Holders& holders = holders_[report.account];
  Holder& holder = holders[request.from];
  EndLease(&holder, &account, now);
  if (account.lease_end <= now) {
    account.permits = 0;
  }
  AllowanceGrant grant;
  grant.account = report.account;
  AllowanceRelay& relay = grant.relay.emplace();
  relay.held = holder.lent;
  grant.permits = std::min(report.waiting, account.permits);
  if (grant.permits == report.waiting && report.expected > holder.lent) {
    grant.permits +=
        std::min(report.expected - holder.lent,
                 (account.permits - grant.permits) / kSpareDivisor);
  }
  if (grant.permits < report.waiting && now < account.blocked_until) {
    grant.retry_after = std::max(Until(account.room_at, now), Milliseconds(1));
  }
  account.permits -= grant.permits;
  account.lent += grant.permits;
  holder.lent += grant.permits;
  holder.lease_end = std::min(now + kAllowanceLease, account.lease_end);
  relay.lease = Until(holder.lease_end, now);
  if (account.usage_time > holder.usage_time) {
    holder.usage_time = account.usage_time;
    relay.home = account.home;
    relay.usage_age =
        std::chrono::duration_cast<Milliseconds>(now - account.usage_time);
    grant.usage = account.usage;
    grant.earlier_usage = account.earlier_usage;
  }
  holder.waiting = 0;
  if (report.is_final && holder.lent == 0) {
    holders.erase(request.from);
  }
  UpdateShortage(holders, &account, now);
  return grant;
}

void AllowanceAgent::Abandon(const AllowanceRequest& request, TimePoint now) {
  for (const AllowanceReport& report : request.reports) {
    AllowanceAccount& account =
        gate_.FindOrCreate(report.account, report.limit, now);
    Holders& holders = holders_[report.account];
    const auto found = holders.find(request.from);
    if (found != holders.end()) {
      found->second.waiting = 0;
      UpdateShortage(holders, &account, now);
    }
  }
}

void AllowanceAgent::EndLeases(TimePoint now) {
  for (auto& [name, holders] : holders_) {
    if (AllowanceAccount* const account = gate_.Find(name)) {
      for (auto& [node, holder] : holders) {
        EndLease(&holder, account, now);
      }
    }
  }
}

void AllowanceAgent::Sweep(TimePoint now) {
  std::erase_if(senders_, [&](const auto& item) {
    return now - item.second.last > kAllowanceShareTime;
  });
  EndLeases(now);
  gate_.Sweep(now);
  for (auto it = holders_.begin(); it != holders_.end();) {
    std::erase_if(it->second, [this](const auto& holder) {
      return holder.second.lent == 0 && !senders_.contains(holder.first);
    });
    const bool is_unused =
        it->second.empty() || gate_.Find(it->first) == nullptr;
    it = is_unused ? holders_.erase(it) : std::next(it);
  }
}

}  // namespace dragonflytack
