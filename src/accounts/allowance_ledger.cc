#include "accounts/allowance_ledger.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "accounts/allowance_timing.h"

namespace dragonflytack {

namespace {

// Parts of what the bounds add to the limit. The first home node needs some,
// because it counts calls for up to a slot and a report longer than the window.
// A later one uses its part while nobody knows whether the first one lives; a
// partition into three parts has two of them.
constexpr double kFirstMargin = 0.5;
constexpr double kLaterMargin = 0.5;

constexpr double kMajority = 0.5;

// Returns the highest number of calls in a time of this length. The highest
// slot times the number of slots would count reports of agents, each with the
// calls of half a second, several times.
double HighestSum(const UsageCounts& counts,
                  Milliseconds time,
                  Milliseconds window) {
  const auto slots = static_cast<size_t>(
      (time.count() * UsageWindow::kSlots + window.count() - 1) /
      window.count());
  double highest = 0;
  double sum = 0;
  for (size_t i = 0; i < counts.size(); ++i) {
    sum += counts[i];
    sum -= i >= slots ? counts[i - slots] : 0;
    highest = std::max(highest, sum);
  }
  return highest;
}

// Part of the room that may lie at holders without a call that needs it. With a
// quarter, the agents of six data centres had no reserve of small accounts.
constexpr double kSpareShare = 0.5;

}  // namespace

struct AllowanceLedger::Holder final {
  uint64_t incarnation = 0;
  // Permits that the node may still use.
  double held = 0;
  // Permits that were counted as used when their lease ended.
  double assumed = 0;
  TimePoint lease_end{};
  TimePoint last_report{};
  // Calls, with an exponential decay over the window.
  double weight = 0;
  // The share that the node was told last, or brought.
  double share = 0;
  // The larger one of that share and the share that the node had before, as the
  // response may have been lost. With a holder per data centre, the difference
  // is several percent of the limit.
  double reserved = 0;
  // When a later home node may no longer use the share. The first one reserves
  // it longer, until the calls of that time have left the window.
  TimePoint share_end{};
  bool is_lost = false;

  // The weight decays with two windows: over one, the shares of small accounts
  // vary so much that a lost agent leaves too little to the others.
  double Weight(Milliseconds window, TimePoint now) const {
    return weight * std::exp(-std::chrono::duration<double>(now - last_report) /
                             std::chrono::duration<double>(2 * window));
  }
};

struct AllowanceLedger::Account final {
  explicit Account(Milliseconds window) : past(window), used(window) {}

  AllowanceLimit limit;
  // The limit before a lower one, and the change. Calls from before it count
  // for the former limit only, because the lower one binds one window after it
  // is in force. Otherwise an account with more calls than the lower limit
  // would have no room until they leave the window.
  std::optional<AllowanceLimit> former_limit;
  TimePoint lowered_at{};
  // Calls that other home nodes permitted, by their newest statements; without
  // a name those that may have been permitted.
  struct Statement {
    UsageWindow usage;
    TimePoint time{};
  };
  std::unordered_map<NodeId, Statement> statements;
  // Calls that this home node permitted before it lost entry nodes, and since.
  UsageWindow past;
  UsageWindow used;
  std::unordered_map<std::string, Holder> holders;
  double outstanding = 0;
  double part = 1;
  uint32_t skipped = 0;
  TimePoint created{};
  TimePoint last_report{};

  // Returns the calls that other home nodes permitted since `begin`.
  double Inherited(TimePoint begin, TimePoint now) {
    double total = 0;
    for (auto& [home, statement] : statements) {
      total += statement.usage.TotalSince(begin, now);
    }
    return total;
  }
  // Since when the first home node has had less than half of the shares, or a
  // later one more than half.
  std::optional<TimePoint> moved_since;
  bool took_over = false;
};

AllowanceLedger::AllowanceLedger(NodeId self, const AllowanceBounds& bounds)
    : self_(std::move(self)), bounds_(bounds) {}

AllowanceLedger::~AllowanceLedger() = default;

AllowanceResponse AllowanceLedger::OnRequest(const AllowanceRequest& request,
                                             TimePoint now) {
  Sender& sender = senders_[request.from];
  if (request.incarnation < sender.incarnation ||
      (request.incarnation == sender.incarnation &&
       request.sequence <= sender.sequence)) {
    return {};
  }
  sender = {request.incarnation, request.sequence, now};
  dead_nodes_.erase(AllowanceHolderNode(request.from));
  AllowanceResponse response;
  for (const AllowanceReport& report : request.reports) {
    response.grants.push_back(Grant(request, report, now));
  }
  return response;
}

bool AllowanceLedger::IsUnsettled(const std::string& account,
                                  TimePoint now) const {
  return std::any_of(
      former_homes_.begin(), former_homes_.end(), [&](const auto& former) {
        return former.second > now && former.first.First(account) != self_;
      });
}

AllowanceLedger::Account& AllowanceLedger::FindOrCreate(
    const AllowanceReport& report,
    TimePoint now) {
  std::unique_ptr<Account>& account = accounts_[report.account];
  if (account == nullptr) {
    account = std::make_unique<Account>(bounds_.window);
    account->limit = report.limit;
    account->created = now;
    account->skipped = report.skipped;
    if (report.usage.empty() && IsUnsettled(report.account, now)) {
      // Another home node may have permitted calls that no report contains.
      const auto [unknown, is_new] = account->statements.try_emplace(
          NodeId(), Account::Statement{UsageWindow(bounds_.window), now});
      unknown->second.usage.AddUniformly(report.limit.Base(bounds_), now);
    }
  }
  return *account;
}

void AllowanceLedger::UpdateHolder(const AllowanceRequest& request,
                                   const AllowanceReport& report,
                                   Account* account,
                                   TimePoint now) {
  const auto [found, is_new] = account->holders.try_emplace(request.from);
  Holder& holder = found->second;
  double used = 0;
  if (is_new || holder.incarnation != request.incarnation) {
    // The permits of an ended process may all have been used.
    used = holder.held + report.used;
    holder.incarnation = request.incarnation;
  } else {
    // If another home node has responded since, the calls had its permits.
    const bool may_be_counted = report.usage_home.empty();
    used = std::max(report.used - (may_be_counted ? holder.assumed : 0), 0.0);
  }
  holder.assumed = 0;
  account->used.Add(used, now);
  holder.weight = holder.Weight(bounds_.window, now) + used;
  account->outstanding += report.held - holder.held;
  holder.held = report.held;
  holder.lease_end = now + kAllowanceLease;
  holder.last_report = now;
  // The node reports the calls that another home node permitted meanwhile.
  holder.is_lost = false;
  if (report.skipped > 0) {
    const bool is_usable =
        report.share_age >= kAllowanceShareDelay &&
        (report.share_age < kAllowanceShareTime || account->took_over);
    holder.share = is_usable ? report.share : 0;
    holder.share_end = now + kAllowanceShareTime - report.share_age;
  }
}

void AllowanceLedger::Inherit(const AllowanceReport& report,
                              Account* account,
                              TimePoint now) {
  account->statements.erase(NodeId());
  const TimePoint time = now - report.usage_age;
  const auto [found, is_new] = account->statements.try_emplace(
      report.usage_home, Account::Statement{UsageWindow(bounds_.window)});
  Account::Statement& statement = found->second;
  if (!is_new && time <= statement.time) {
    return;
  }
  statement.time = time;
  statement.usage.Clear();
  statement.usage.AddCounts(report.usage, report.usage_age, now);
  if (now - account->created < bounds_.window) {
    statement.usage.AddCounts(report.earlier_usage, report.usage_age, now);
  }
  if (!report.usage.empty()) {
    // What the other home node may have permitted since: the first one until it
    // reserves the shares, a later one until all nodes have left it.
    const Milliseconds unknown =
        report.skipped > 0 ? kAllowanceShareDelay : kAllowanceReturnTime;
    statement.usage.Add(HighestSum(report.usage, unknown, bounds_.window), now);
  }
}

void AllowanceLedger::UpdateLosses(Account* account, TimePoint now) {
  for (auto it = account->holders.begin(); it != account->holders.end();) {
    Holder& holder = it->second;
    const auto silence = now - holder.last_report;
    if (holder.held > 0 && holder.lease_end <= now) {
      // The node may have used them until the end of its lease.
      account->used.Add(holder.held, now);
      account->outstanding -= holder.held;
      holder.assumed += holder.held;
      holder.held = 0;
    }
    if (account->skipped == 0 && holder.share > 0 &&
        silence > kAllowanceLossTime) {
      holder.is_lost = true;
    }
    const bool is_over =
        holder.share > 0
            ? (account->skipped > 0
                   ? holder.share_end <= now && !account->took_over
                   : silence > kAllowanceShareTime + kAllowanceLease +
                                   bounds_.window &&
                         account->part > kMajority) ||
                  (holder.is_lost &&
                   dead_nodes_.contains(AllowanceHolderNode(it->first)))
            : silence > bounds_.window;
    if (is_over && holder.held == 0) {
      it = account->holders.erase(it);
    } else {
      ++it;
    }
  }
}

double AllowanceLedger::Part(Account* account, TimePoint now) const {
  double lost = 0;
  double present = 0;
  for (const auto& [node, holder] : account->holders) {
    if (holder.is_lost) {
      lost += holder.reserved;
    } else {
      present += holder.share;
    }
  }
  const bool is_first = account->skipped == 0;
  const double part = std::clamp(is_first ? 1 - lost : present, 0.0, 1.0);
  if (is_first ? part >= kMajority : part <= kMajority) {
    account->moved_since.reset();
    return part;
  }
  if (!account->moved_since) {
    account->moved_since = now;
  }
  const auto moved_time = now - *account->moved_since;
  if (is_first) {
    return moved_time < kAllowanceMinorityTime ? part : 0;
  }
  account->took_over |= moved_time >= kAllowanceMinorityTime + bounds_.window +
                                          kAllowanceTakeOverMargin;
  return account->took_over ? 1 : part;
}

double AllowanceLedger::Room(Account* account, TimePoint now) const {
  const double part = Part(account, now);
  if (part < account->part && account->skipped == 0) {
    // What was permitted until now counts against all parts.
    account->past.TakeFrom(&account->used, now);
  }
  account->part = part;
  if (!account->former_limit || now - account->lowered_at >= bounds_.window) {
    account->former_limit.reset();
    return RoomSince(TimePoint::min(), account->limit, account, now);
  }
  return std::min(
      RoomSince(account->lowered_at - kAllowanceLimitTime, account->limit,
                account, now),
      RoomSince(TimePoint::min(), *account->former_limit, account, now));
}

double AllowanceLedger::RoomSince(TimePoint begin,
                                  const AllowanceLimit& limit,
                                  Account* account,
                                  TimePoint now) const {
  const double margin = limit.Margin(bounds_);
  const double cap = limit.Base(bounds_) + margin * kFirstMargin;
  double allowed =
      account->part * std::max(cap - account->Inherited(begin, now) -
                                   account->past.TotalSince(begin, now),
                               0.0);
  if (account->skipped > 0) {
    allowed += margin * kLaterMargin;
  }
  return allowed - account->used.TotalSince(begin, now) - account->outstanding;
}

AllowanceGrant AllowanceLedger::Grant(const AllowanceRequest& request,
                                      const AllowanceReport& report,
                                      TimePoint now) {
  Account& account = FindOrCreate(report, now);
  if (report.limit.version > account.limit.version) {
    if (report.limit.Base(bounds_) < account.limit.Base(bounds_)) {
      account.former_limit = account.limit;
      account.lowered_at = now;
    } else if (report.limit.Base(bounds_) > account.limit.Base(bounds_)) {
      account.former_limit.reset();
    }
    account.limit = report.limit;
  }
  account.last_report = now;
  account.skipped = std::min(account.skipped, report.skipped);
  if (!report.usage.empty() || !report.earlier_usage.empty()) {
    Inherit(report, &account, now);
  }
  UpdateLosses(&account, now);
  UpdateHolder(request, report, &account, now);
  Holder& holder = account.holders[request.from];
  AllowanceGrant grant;
  grant.account = report.account;
  if (report.is_final) {
    // Shares that later home nodes got stay with them.
    holder.share = report.skipped == 0 ? 0 : holder.share;
    holder.reserved = holder.share;
    return grant;
  }
  const double room = std::max(std::floor(Room(&account, now)), 0.0);
  const double needed = std::min<double>(report.waiting, room);
  const double spare = std::floor((room - needed) * kSpareShare /
                                  static_cast<double>(account.holders.size()));
  const double expected =
      std::max(static_cast<double>(report.expected) - report.held, 0.0);
  const double permits = needed + std::min(expected, spare);
  grant.permits = static_cast<uint32_t>(permits);
  holder.held += permits;
  account.outstanding += permits;
  if (needed < report.waiting) {
    grant.retry_after = account.used.UntilNextLeaves(now);
    for (auto& [home, statement] : account.statements) {
      grant.retry_after =
          std::min(grant.retry_after, statement.usage.UntilNextLeaves(now));
    }
  }
  if (report.skipped == 0) {
    double weights = 0;
    for (const auto& [node, other] : account.holders) {
      weights +=
          other.is_lost ? 0 : other.Weight(bounds_.window, now) + other.held;
    }
    holder.share = weights > 0
                       ? account.part * (holder.weight + holder.held) / weights
                       : 0;
    holder.reserved = std::max(holder.share, report.share);
    grant.share = holder.share;
  }
  grant.usage = account.used.Counts(now);
  UsageWindow earlier = account.past;
  for (const auto& [home, statement] : account.statements) {
    UsageWindow usage = statement.usage;
    earlier.TakeFrom(&usage, now);
  }
  grant.earlier_usage = earlier.Counts(now);
  return grant;
}

std::vector<NodeId> AllowanceLedger::LostNodes() const {
  std::unordered_set<NodeId> lost;
  for (const auto& [name, account] : accounts_) {
    for (const auto& [node, holder] : account->holders) {
      if (holder.is_lost) {
        lost.insert(AllowanceHolderNode(node));
      }
    }
  }
  return {lost.begin(), lost.end()};
}

void AllowanceLedger::Sweep(TimePoint now) {
  std::erase_if(accounts_, [&](const auto& item) {
    Account& account = *item.second;
    UpdateLosses(&account, now);
    std::erase_if(account.statements, [now](const auto& statement) {
      UsageWindow usage = statement.second.usage;
      return usage.TotalSince(TimePoint::min(), now) == 0;
    });
    return now - account.last_report > bounds_.window + kAllowanceLease &&
           account.holders.empty();
  });
  std::erase_if(former_homes_,
                [now](const auto& former) { return former.second <= now; });
  std::erase_if(senders_, [&](const auto& item) {
    return now - item.second.last > kAllowanceShareTime;
  });
}

}  // namespace dragonflytack
