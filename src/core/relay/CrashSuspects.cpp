#include "core/relay/CrashSuspects.h"
#include <algorithm>
#include <xxhash.h>

namespace quetzallead {

/// How long a request is blocked after the last end.
static constexpr Duration BlockTime = absl::Hours(1);
/// How long ends are remembered that do not block the request.
static constexpr Duration SuspicionTime = absl::Minutes(10);
/// How long a response is remembered: reports of ends before it may still
/// arrive.
static constexpr Duration ServedMemoryTime = absl::Minutes(1);
/// Longest time that a check takes.
static constexpr Duration CheckTime = absl::Seconds(1);
/// Ends remembered of one request. A blocked request ends no more servers, so
/// that only malformed reports exceed this.
static constexpr std::size_t MaxEndsKept = 16;
/// A reported time replaces an earlier one only if it is later by this: the
/// time of the message makes it later.
static constexpr Duration AgeTolerance = absl::Milliseconds(500);

TimePoint CrashSuspects::expiry(const Record &R) {
  if (R.Ends.empty())
    return R.UpdatedAt + ServedMemoryTime;
  return R.UpdatedAt + (R.Ends.size() >= MaxEnds ? BlockTime : SuspicionTime);
}

bool CrashSuspects::addEnd(Record &R, const std::string &Incarnation,
                           TimePoint EndedAt) {
  if (EndedAt <= R.ServedAt)
    return false;
  if (R.Ends.size() == MaxEndsKept && R.Ends.count(Incarnation) == 0)
    return false;
  const auto [Found, New] = R.Ends.emplace(Incarnation, EndedAt);
  if (EndedAt > Found->second + AgeTolerance)
    Found->second = EndedAt;
  R.UpdatedAt = std::max(R.UpdatedAt, EndedAt);
  return New;
}

void CrashSuspects::clear(Record &R, TimePoint ServedAt) {
  R.ServedAt = ServedAt;
  R.UpdatedAt = std::max(R.UpdatedAt, ServedAt);
  for (auto It = R.Ends.begin(); It != R.Ends.end();)
    It = It->second <= ServedAt ? R.Ends.erase(It) : std::next(It);
}

void CrashSuspects::trim(TimePoint Now) {
  for (auto It = Records.begin(); It != Records.end();)
    It = expiry(It->second) <= Now ? Records.erase(It) : std::next(It);
  while (Records.size() > MaxRecords)
    Records.erase(std::min_element(
        Records.begin(), Records.end(), [](const auto &A, const auto &B) {
          const bool ABlocks = A.second.Ends.size() >= MaxEnds;
          const bool BBlocks = B.second.Ends.size() >= MaxEnds;
          return ABlocks != BBlocks ? BBlocks
                                    : A.second.UpdatedAt < B.second.UpdatedAt;
        }));
  Digest = computeDigest();
}

bool CrashSuspects::onServerEnded(const std::string &Fingerprint,
                                  const std::string &Incarnation,
                                  TimePoint Now) {
  const bool New = addEnd(Records[Fingerprint], Incarnation, Now);
  trim(Now);
  return New;
}

bool CrashSuspects::onServed(const std::string &Fingerprint, TimePoint Now) {
  auto Found = Records.find(Fingerprint);
  if (Found == Records.end() || Found->second.Ends.empty())
    return false;
  clear(Found->second, Now);
  trim(Now);
  return true;
}

void CrashSuspects::beginCheck(const std::string &Fingerprint, TimePoint Now) {
  for (auto It = Checks.begin(); It != Checks.end();)
    It = It->second <= Now ? Checks.erase(It) : std::next(It);
  Checks[Fingerprint] = Now + CheckTime;
}

void CrashSuspects::endCheck(const std::string &Fingerprint) {
  Checks.erase(Fingerprint);
}

bool CrashSuspects::suspects(const std::string &Fingerprint,
                             TimePoint Now) const {
  auto Check = Checks.find(Fingerprint);
  return endCount(Fingerprint) > 0 ||
         (Check != Checks.end() && Check->second > Now);
}

bool CrashSuspects::blocks(const std::string &Fingerprint,
                           TimePoint Now) const {
  return blockLeft(Fingerprint, Now) > absl::ZeroDuration();
}

Duration CrashSuspects::blockLeft(const std::string &Fingerprint,
                                  TimePoint Now) const {
  auto Found = Records.find(Fingerprint);
  const std::size_t Ends = endCount(Fingerprint);
  TimePoint Until = Now;
  if (Ends >= MaxEnds)
    Until = expiry(Found->second);
  auto Check = Checks.find(Fingerprint);
  if (Ends == MaxEnds - 1 && Check != Checks.end())
    Until = Check->second;
  return std::max(absl::ZeroDuration(), Until - Now);
}

std::size_t CrashSuspects::endCount(const std::string &Fingerprint) const {
  auto Found = Records.find(Fingerprint);
  return Found == Records.end() ? 0 : Found->second.Ends.size();
}

std::size_t CrashSuspects::blockedCount(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(Records.begin(), Records.end(), [&](const auto &Item) {
        return Item.second.Ends.size() >= MaxEnds && expiry(Item.second) > Now;
      }));
}

std::vector<CrashReport> CrashSuspects::reports(std::size_t MaxReports,
                                                TimePoint Now) const {
  std::vector<std::pair<TimePoint, const std::string *>> Newest;
  Newest.reserve(Records.size());
  for (const auto &[Fingerprint, R] : Records)
    if (expiry(R) > Now)
      Newest.emplace_back(R.UpdatedAt, &Fingerprint);
  std::sort(Newest.begin(), Newest.end(),
            [](const auto &A, const auto &B) { return A.first > B.first; });
  Newest.resize(std::min(Newest.size(), MaxReports));
  std::vector<CrashReport> Out;
  for (const auto &[UpdatedAt, Fingerprint] : Newest) {
    const Record &R = Records.at(*Fingerprint);
    CrashReport Report;
    Report.Fingerprint = *Fingerprint;
    for (const auto &[Incarnation, EndedAt] : R.Ends)
      Report.Ends[Incarnation] = Now - EndedAt;
    if (R.ServedAt != absl::InfinitePast())
      Report.ServedAge = Now - R.ServedAt;
    Out.push_back(std::move(Report));
  }
  return Out;
}

bool CrashSuspects::merge(const std::vector<CrashReport> &Reports,
                          TimePoint Now) {
  bool Changed = false;
  for (const CrashReport &Report : Reports) {
    Record &R = Records[Report.Fingerprint];
    if (Report.ServedAge &&
        Now - *Report.ServedAge > R.ServedAt + AgeTolerance) {
      Changed = true;
      clear(R, Now - *Report.ServedAge);
    }
    for (const auto &[Incarnation, Age] : Report.Ends)
      Changed = addEnd(R, Incarnation, Now - Age) || Changed;
  }
  trim(Now);
  return Changed;
}

std::uint64_t CrashSuspects::computeDigest() const {
  std::uint64_t Sum = 0;
  for (const auto &[Fingerprint, R] : Records) {
    std::string Text = Fingerprint;
    for (const auto &[Incarnation, EndedAt] : R.Ends)
      Text += "\n" + Incarnation;
    if (!R.Ends.empty())
      Sum ^= XXH3_64bits(Text.data(), Text.size());
  }
  return Sum;
}

} // namespace quetzallead
