#include "core/relay/AccountLimits.h"
#include "core/relay/SharingInstances.h"
#include <algorithm>
#include <cmath>
#include <limits>

namespace quetzallead {

/// Half of what is tolerated above a limit goes into the buckets, so that
/// random arrivals pass; the other half covers instances that join or restart.
/// Tolerated are, in LimitWindow, a tenth and 20 requests.
static constexpr double LimitWindowSeconds = 5;
static constexpr double OverageShare = 0.05;
static constexpr double OverageRequests = 10;
/// Tokens of an account that this instance has just learned of. What it may
/// have admitted before a restart is unknown.
static constexpr double InitialTokens = 1;
/// The most instances that may have InitialTokens each.
static constexpr double MaxInitialSharers = 10;
/// Time constant of the average demand.
static constexpr Duration DemandTime = absl::Seconds(1);
/// Demand that an instance keeps tokens for, and asks others for.
static constexpr double HorizonSeconds = 0.25;
/// Requests per second below which an account counts as idle.
static constexpr double MinDemand = 0.05;
/// Least time between the places of callers that were refused.
static constexpr Duration MinPlaceInterval = absl::Milliseconds(1);

AccountLimits::AccountLimits(
    std::shared_ptr<const SharingInstances> GivenSharing)
    : Sharing(std::move(GivenSharing)) {}

double AccountLimits::fraction(TimePoint Now) const {
  // No limit is too small for an equal part each.
  return Sharing == nullptr
             ? 1
             : Sharing
                   ->shareAmong(std::string(), std::numeric_limits<int>::max(),
                                Now)
                   .Fraction;
}

double AccountLimits::capacity(const Bucket &B, TimePoint Now) const {
  const double Tolerated =
      OverageShare * (B.RatePerSecond * LimitWindowSeconds + B.Burst) +
      OverageRequests;
  return (B.Burst + Tolerated) * fraction(Now);
}

void AccountLimits::fill(Bucket &B, TimePoint Now) const {
  const double Elapsed =
      std::max(0.0, absl::ToDoubleSeconds(Now - B.CountedAt));
  B.Tokens = std::min(capacity(B, Now),
                      B.Tokens + Elapsed * B.RatePerSecond * fraction(Now));
  B.CountedAt = std::max(B.CountedAt, Now);
}

double AccountLimits::demand(const Bucket &B, TimePoint Now) {
  return B.Demand * std::exp(-std::max(
                        0.0, absl::FDivDuration(Now - B.DemandAt, DemandTime)));
}

void AccountLimits::updateSheet(const std::vector<ClientAccount> &Accounts,
                                TimePoint Now) {
  std::map<std::string, Bucket> Next;
  const double Initial =
      fraction(Now) * MaxInitialSharers >= 1 ? InitialTokens : 0;
  for (const ClientAccount &A : Accounts) {
    if (A.RatePerSecond <= 0)
      continue;
    auto Existing = Buckets.extract(A.Name);
    Bucket B;
    if (!Existing.empty()) {
      B = Existing.mapped();
      fill(B, Now);
    } else {
      B.Tokens = Initial;
      B.CountedAt = Now;
    }
    B.RatePerSecond = A.RatePerSecond;
    B.Burst = A.Burst;
    Next.emplace(A.Name, B);
  }
  Buckets = std::move(Next);
}

AccountAdmission AccountLimits::admit(const std::string &Account,
                                      TimePoint Now) {
  auto Found = Buckets.find(Account);
  if (Found == Buckets.end())
    return AccountAdmission();
  Bucket &B = Found->second;
  fill(B, Now);
  B.Demand = demand(B, Now) + 1 / absl::ToDoubleSeconds(DemandTime);
  B.DemandAt = Now;
  const bool Admitted = B.Tokens >= 1;
  if (Admitted)
    B.Tokens -= 1;
  if (B.Tokens < goal(B, Now))
    Short.insert(Account);
  if (Admitted)
    return AccountAdmission();
  // Others give what they do not use, so that the whole rate may be served
  // here.
  const Duration Interval =
      std::max(MinPlaceInterval, absl::Seconds(1 / B.RatePerSecond));
  B.LastPlace = std::max(Now, B.LastPlace) + Interval;
  AccountAdmission Refused;
  Refused.Admitted = false;
  Refused.RetryAfter = B.LastPlace - Now;
  return Refused;
}

void AccountLimits::refund(const std::string &Account, TimePoint Now) {
  auto Found = Buckets.find(Account);
  if (Found == Buckets.end())
    return;
  fill(Found->second, Now);
  Found->second.Tokens =
      std::min(capacity(Found->second, Now), Found->second.Tokens + 1);
}

double AccountLimits::goal(const Bucket &B, TimePoint Now) const {
  return std::min(capacity(B, Now), 1 + demand(B, Now) * HorizonSeconds);
}

AccountTokens AccountLimits::wants(TimePoint Now) {
  AccountTokens Out;
  for (auto It = Short.begin(); It != Short.end();) {
    auto Found = Buckets.find(*It);
    if (Found != Buckets.end() && demand(Found->second, Now) >= MinDemand) {
      Bucket &B = Found->second;
      fill(B, Now);
      const double Lacking = goal(B, Now) - B.Tokens;
      if (Lacking > 0) {
        Out[*It++] = Lacking;
        continue;
      }
    }
    It = Short.erase(It);
  }
  return Out;
}

AccountTokens AccountLimits::give(const AccountTokens &Wanted, TimePoint Now) {
  AccountTokens Out;
  for (const auto &[Name, Amount] : Wanted) {
    auto Found = Buckets.find(Name);
    if (Found == Buckets.end() || !std::isfinite(Amount) || Amount <= 0)
      continue;
    Bucket &B = Found->second;
    fill(B, Now);
    const double Spare = B.Tokens - demand(B, Now) * HorizonSeconds;
    const double Given = std::min(Amount, Spare);
    if (Given <= 0)
      continue;
    B.Tokens -= Given;
    Out[Name] = Given;
  }
  return Out;
}

void AccountLimits::credit(const AccountTokens &Given, TimePoint Now) {
  for (const auto &[Name, Amount] : Given) {
    auto Found = Buckets.find(Name);
    if (Found == Buckets.end() || !std::isfinite(Amount) || Amount <= 0)
      continue;
    Bucket &B = Found->second;
    fill(B, Now);
    B.Tokens = std::min(capacity(B, Now), B.Tokens + Amount);
  }
}

double AccountLimits::tokens(const std::string &Account, TimePoint Now) const {
  auto Found = Buckets.find(Account);
  if (Found == Buckets.end())
    return std::numeric_limits<double>::infinity();
  Bucket B = Found->second;
  fill(B, Now);
  return B.Tokens;
}

} // namespace quetzallead
