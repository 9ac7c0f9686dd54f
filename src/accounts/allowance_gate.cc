#include "accounts/allowance_gate.h"

#include <algorithm>
#include <cmath>

#include "accounts/allowance_timing.h"

namespace dragonflytack {

namespace {

// Without calls for the first time, a node returns its permits; after the
// second one it reports no longer and loses its share. Until then the shares of
// a small account are spread over the nodes that had one of its last calls.
constexpr Milliseconds kIdleTime{1'000};
constexpr Milliseconds kShareIdleTime{4'000};

// After an answer without room, calls are refused for at most this time without
// asking again: another node may return its permits meanwhile.
constexpr Milliseconds kMaxBlockTime{250};

// Weight of the newest period in the expected number of calls.
constexpr double kNewestWeight = 0.3;

Milliseconds Since(TimePoint time, TimePoint now) {
  return std::chrono::duration_cast<Milliseconds>(now - time);
}

}  // namespace

bool AllowanceGate::Use(Account* account, TimePoint now) {
  if (account->lease_end <= now) {
    account->permits = 0;
  }
  if (account->permits == 0) {
    return false;
  }
  --account->permits;
  ++account->used;
  return true;
}

AllowanceGate::Answer AllowanceGate::Ask(const std::string& name,
                                         const AllowanceLimit& limit,
                                         TimePoint now) {
  const auto [found, is_new] = accounts_.try_emplace(name);
  Account& account = found->second;
  if (is_new) {
    account.period_start = now;
  }
  account.limit = limit;
  account.last_call = now;
  ++account.asked;
  if (Use(&account, now)) {
    return {Decision::kAdmitted};
  }
  if (now < account.blocked_until) {
    return {Decision::kRefused,
            std::max(Since(now, account.room_at), Milliseconds(1))};
  }
  ++account.waiting;
  return {Decision::kWaits};
}

AllowanceGate::Answer AllowanceGate::Resolve(const std::string& name,
                                             TimePoint now) {
  Account& account = accounts_[name];
  account.waiting -= account.waiting > 0 ? 1 : 0;
  if (Use(&account, now)) {
    return {Decision::kAdmitted};
  }
  return {Decision::kRefused,
          std::max(Since(now, account.room_at), Milliseconds(1))};
}

void AllowanceGate::Abandon(const std::string& name) {
  Account& account = accounts_[name];
  account.waiting -= account.waiting > 0 ? 1 : 0;
}

bool AllowanceGate::IsDue(const std::string& name,
                          const Account& account,
                          const AllowanceHomes& homes,
                          TimePoint now) {
  // A first home node that responds again must not reserve the share longer.
  const bool returns =
      account.skipped > 0 && account.share > 0 && homes.Find(name).skipped == 0;
  return account.waiting > 0 || returns ||
         (account.has_reported &&
          now - account.last_report >= kAllowanceReportPeriod);
}

std::vector<NodeId> AllowanceGate::DueHomes(const AllowanceHomes& homes,
                                            TimePoint now) {
  std::vector<NodeId> due;
  for (const auto& [name, account] : accounts_) {
    if (IsDue(name, account, homes, now)) {
      const NodeId home = homes.Find(name).node;
      if (!home.empty() &&
          std::find(due.begin(), due.end(), home) == due.end()) {
        due.push_back(home);
      }
    }
  }
  return due;
}

AllowanceReport AllowanceGate::MakeReport(const std::string& name,
                                          const AllowanceHomes::Home& home,
                                          Account* account,
                                          TimePoint now) {
  if (account->lease_end <= now) {
    account->permits = 0;
  }
  const double periods =
      std::chrono::duration<double>(now - account->period_start) /
      std::chrono::duration<double>(kAllowanceReportPeriod);
  if (periods >= 1) {
    account->expected = account->expected * (1 - kNewestWeight) +
                        account->asked / periods * kNewestWeight;
    account->asked = 0;
    account->period_start = now;
  }
  account->last_report = now;
  AllowanceReport report;
  report.account = name;
  report.limit = account->limit;
  // A later home node needs the share of the node, even without calls.
  report.is_final =
      account->waiting == 0 && now - account->last_call >= kShareIdleTime &&
      (home.skipped == 0 || now - account->share_time >= kAllowanceShareDelay);
  if (now - account->last_call >= kIdleTime) {
    account->permits = 0;
    account->expected = 0;
  }
  account->is_final = report.is_final;
  report.used = account->used;
  account->reported = account->used;
  report.held = account->permits;
  report.waiting = account->waiting;
  report.expected = static_cast<uint32_t>(std::lround(account->expected));
  report.skipped = home.skipped;
  if (home.skipped > 0) {
    report.share = account->share;
    report.share_age = Since(account->share_time, now);
  }
  if (!account->home.empty() && account->home != home.node) {
    report.usage_home = account->home;
    report.usage = account->usage;
    report.earlier_usage = account->earlier_usage;
    report.usage_age = Since(account->usage_time, now);
  }
  account->has_reported = !report.is_final;
  return report;
}

std::vector<AllowanceReport> AllowanceGate::TakeReports(
    const AllowanceHomes& homes,
    const NodeId& home,
    TimePoint now) {
  std::vector<AllowanceReport> reports;
  for (auto& [name, account] : accounts_) {
    if (!IsDue(name, account, homes, now)) {
      continue;
    }
    const AllowanceHomes::Home found = homes.Find(name);
    if (found.node == home) {
      account.skipped = found.skipped;
      reports.push_back(MakeReport(name, found, &account, now));
    }
  }
  return reports;
}

void AllowanceGate::OnResponse(const NodeId& home,
                               const AllowanceResponse& response,
                               TimePoint sent,
                               TimePoint now) {
  for (const AllowanceGrant& grant : response.grants) {
    const auto found = accounts_.find(grant.account);
    if (found == accounts_.end()) {
      continue;
    }
    Account& account = found->second;
    account.permits += grant.permits;
    account.lease_end = sent + kAllowanceLease;
    account.home = home;
    account.used -= std::min(account.used, account.reported);
    account.usage = grant.usage;
    account.earlier_usage = grant.earlier_usage;
    account.usage_time = sent;
    if (account.skipped == 0) {
      account.share = account.is_final ? 0 : grant.share;
      account.share_time = sent;
    }
    if (grant.retry_after > Milliseconds(0)) {
      account.room_at = now + grant.retry_after;
      account.blocked_until = now + std::min(grant.retry_after, kMaxBlockTime);
    }
  }
}

void AllowanceGate::OnNoResponse(const std::vector<std::string>& accounts) {
  for (const std::string& name : accounts) {
    const auto found = accounts_.find(name);
    if (found != accounts_.end()) {
      found->second.has_reported = true;
      found->second.last_report = TimePoint();
    }
  }
}

void AllowanceGate::Sweep(TimePoint now) {
  std::erase_if(accounts_, [&](const auto& item) {
    const Account& account = item.second;
    return account.waiting == 0 && !account.has_reported &&
           now - account.last_call > kAllowanceShareTime;
  });
}

}  // namespace dragonflytack
