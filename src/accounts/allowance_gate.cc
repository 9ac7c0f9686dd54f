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
// An agent keeps its reserve longer: a data centre with a call of a small
// account every other second finds a permit.
constexpr Milliseconds kAgentIdleTime{3'000};

// After an answer without room, calls are refused for at most this time without
// asking again: another node may return its permits meanwhile.
constexpr Milliseconds kMaxBlockTime{250};
// An agent has the same rule, so its entry nodes may ask again sooner.
constexpr Milliseconds kMaxBlockTimeBehindAgent{100};

// A report accompanies others to the same node if this part of its period has
// passed, so that the reports of all accounts share messages.
constexpr Milliseconds kAccompanyTime = kAllowanceReportPeriod / 2;

// Weight of the newest period in the expected number of calls.
constexpr double kNewestWeight = 0.3;

// A large account whose reserve is half used is due after this part of the
// period, before calls wait.
constexpr Milliseconds kRefillTime = kAllowanceReportPeriod / 4;
constexpr uint32_t kLargeReserve = 8;

// Calls that an agent expects in a report period, and a usual deviation.
uint32_t Reserve(const AllowanceAccount& account) {
  return static_cast<uint32_t>(
      std::ceil(account.expected + std::sqrt(account.expected)));
}

Milliseconds Since(TimePoint time, TimePoint now) {
  return std::chrono::duration_cast<Milliseconds>(now - time);
}

}  // namespace

bool AllowanceGate::Use(AllowanceAccount* account, TimePoint now) {
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
  AllowanceAccount& account = found->second;
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
  AllowanceAccount& account = accounts_[name];
  account.waiting -= account.waiting > 0 ? 1 : 0;
  if (Use(&account, now)) {
    return {Decision::kAdmitted};
  }
  return {Decision::kRefused,
          std::max(Since(now, account.room_at), Milliseconds(1))};
}

bool AllowanceGate::HasPermit(const std::string& name, TimePoint now) const {
  const auto found = accounts_.find(name);
  return found != accounts_.end() && found->second.permits > 0 &&
         found->second.lease_end > now;
}

void AllowanceGate::Abandon(const std::string& name) {
  AllowanceAccount& account = accounts_[name];
  account.waiting -= account.waiting > 0 ? 1 : 0;
}

bool AllowanceGate::IsDue(const std::string& name,
                          const AllowanceAccount& account,
                          const AllowanceHomes& homes,
                          TimePoint now) const {
  // A first home node that responds again must not reserve the share longer.
  const bool returns = kind_ != Kind::kBehindAgent && account.skipped > 0 &&
                       account.share > 0 && homes.Find(name).skipped == 0;
  const uint32_t reserve = kind_ == Kind::kAgent ? Reserve(account) : 0;
  const bool is_low =
      reserve >= kLargeReserve && account.permits < reserve / 2 &&
      now >= account.blocked_until && now - account.last_report >= kRefillTime;
  return account.waiting > 0 || returns || is_low ||
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
                                          AllowanceAccount* account,
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
      account->waiting == 0 && account->lent == 0 &&
      now - account->last_call >= kShareIdleTime &&
      (home.skipped == 0 || now - account->share_time >= kAllowanceShareDelay);
  report.is_final |= is_fallback_ && account->waiting == 0;
  if (is_fallback_ ||
      now - account->last_call >=
          (kind_ == Kind::kAgent ? kAgentIdleTime : kIdleTime)) {
    account->permits = 0;
    account->expected = 0;
  }
  account->is_final = report.is_final;
  report.used = account->used;
  account->reported = account->used;
  report.held = account->permits + account->lent;
  report.waiting = account->waiting;
  // Entry nodes hold what they expect themselves, beside the reserve.
  report.expected = kind_ == Kind::kAgent
                        ? Reserve(*account) + account->lent
                        : static_cast<uint32_t>(std::lround(account->expected));
  account->has_reported = !report.is_final;
  if (kind_ == Kind::kBehindAgent) {
    // The agent brings its own share and the statements that it received.
    return report;
  }
  report.skipped = home.skipped;
  report.share = account->share;
  if (home.skipped > 0) {
    report.share_age = Since(account->share_time, now);
  }
  if (!account->home.empty() && account->home != home.node) {
    report.usage_home = account->home;
    report.usage = account->usage;
    report.earlier_usage = account->earlier_usage;
    report.usage_age = Since(account->usage_time, now);
  }
  return report;
}

std::vector<AllowanceReport> AllowanceGate::TakeReports(
    const AllowanceHomes& homes,
    const NodeId& home,
    TimePoint now) {
  std::vector<AllowanceReport> reports;
  for (auto& [name, account] : accounts_) {
    const bool accompanies =
        account.has_reported && now - account.last_report >= kAccompanyTime;
    if (!accompanies && !IsDue(name, account, homes, now)) {
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
    AllowanceAccount& account = found->second;
    account.used -= std::min(account.used, account.reported);
    if (grant.relay) {
      ReadRelay(grant, sent, &account);
    } else {
      account.permits += grant.permits;
      account.lease_end = sent + kAllowanceLease;
      account.home = home;
      account.usage = grant.usage;
      account.earlier_usage = grant.earlier_usage;
      account.usage_time = sent;
      if (account.skipped == 0) {
        account.share = account.is_final ? 0 : grant.share;
        account.share_time = sent;
      }
    }
    if (grant.retry_after > Milliseconds(0)) {
      account.room_at = now + grant.retry_after;
      account.blocked_until =
          now + std::min(grant.retry_after, kind_ == Kind::kBehindAgent
                                                ? kMaxBlockTimeBehindAgent
                                                : kMaxBlockTime);
    }
  }
}

void AllowanceGate::ReadRelay(const AllowanceGrant& grant,
                              TimePoint sent,
                              AllowanceAccount* account) {
  const AllowanceRelay& relay = *grant.relay;
  account->permits = std::min(account->permits, relay.held) + grant.permits;
  account->lease_end = sent + std::min(relay.lease, kAllowanceLease);
  const TimePoint usage_time = sent - relay.usage_age;
  if (!relay.home.empty() && usage_time > account->usage_time) {
    account->home = relay.home;
    account->usage = grant.usage;
    account->earlier_usage = grant.earlier_usage;
    account->usage_time = usage_time;
  }
}

AllowanceAccount& AllowanceGate::FindOrCreate(const std::string& name,
                                              const AllowanceLimit& limit,
                                              TimePoint now) {
  const auto [found, is_new] = accounts_.try_emplace(name);
  AllowanceAccount& account = found->second;
  if (is_new) {
    account.period_start = now;
    account.has_reported = true;
  }
  if (is_new || limit.version > account.limit.version) {
    account.limit = limit;
  }
  return account;
}

AllowanceAccount* AllowanceGate::Find(const std::string& name) {
  const auto found = accounts_.find(name);
  return found == accounts_.end() ? nullptr : &found->second;
}

void AllowanceGate::CopyStatement(const AllowanceGate& other,
                                  const std::string& name) {
  const auto from = other.accounts_.find(name);
  if (from == other.accounts_.end() || from->second.home.empty()) {
    return;
  }
  const auto [found, is_new] = accounts_.try_emplace(name);
  AllowanceAccount& account = found->second;
  if (is_new) {
    account.period_start = from->second.usage_time;
  }
  if (from->second.usage_time > account.usage_time) {
    account.home = from->second.home;
    account.usage = from->second.usage;
    account.earlier_usage = from->second.earlier_usage;
    account.usage_time = from->second.usage_time;
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
    const AllowanceAccount& account = item.second;
    return account.waiting == 0 && account.lent == 0 && !account.has_reported &&
           now - account.last_call > kAllowanceShareTime;
  });
}

}  // namespace dragonflytack
