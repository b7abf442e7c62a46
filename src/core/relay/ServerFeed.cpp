#include "core/relay/ServerFeed.h"
#include "absl/container/flat_hash_set.h"
#include <algorithm>

namespace quetzallead {

/// Minimum share of the known servers, and minimum number, of removals in one
/// batch that count as an outage of the source. The number is needed because a
/// few removals are a large share of a small fleet.
static constexpr double MassRemovalShare = 0.2;
static constexpr std::size_t MinMassRemoval = 3;
/// How long, and how many at most, removed incarnations are remembered. A copy
/// that the source comes back from is some seconds old.
static constexpr Duration RemovedMemoryTime = absl::Minutes(5);
static constexpr std::size_t MaxRemoved = 4096;
/// Time for which an entry of a restored copy is withheld if its incarnation
/// had been removed before. Longer than the source takes to remove the entry of
/// a server that has ended.
static constexpr Duration WithholdTime = absl::Seconds(8);
/// How long before the end of WithholdTime the entry must have been seen last.
/// The rest of that time is still longer than the removal takes.
static constexpr Duration MaxWithheldAge = absl::Seconds(4);

ServerFeed::ServerFeed(ServerFeedOptions GivenOptions)
    : Options(GivenOptions) {}

void ServerFeed::onSourceReturned(TimePoint At) {
  ReturnedAt = std::max(ReturnedAt, At);
  for (auto &[Id, E] : Entries) {
    if (E.ExpiresAt != absl::InfiniteFuture() && E.Lapsed)
      keepUntil(E, std::max(E.ExpiresAt, At + Options.ReturnTime));
    // The source may not have removed silent servers while it was away.
    if (E.WithheldUntil != absl::InfiniteFuture())
      E.WithheldUntil = std::max(E.WithheldUntil, At + WithholdTime);
  }
}

void ServerFeed::onSourceServed(TimePoint At) {
  SourceServedAt = std::max(SourceServedAt, At);
}

void ServerFeed::onCurrent(TimePoint AsOf) {
  CurrentAsOf = std::max(CurrentAsOf, AsOf);
}

void ServerFeed::keepUntil(Entry &E, TimePoint Until) {
  if (E.ExpiresAt == Until)
    return;
  E.ExpiresAt = Until;
  if (OnKept)
    OnKept(*E.Server, Until);
}

static bool isSameIncarnation(const DiscoveredServer &A,
                              const DiscoveredServer &B) {
  return A.Id == B.Id && A.Address == B.Address &&
         A.StartedAtMillis == B.StartedAtMillis;
}

void ServerFeed::rememberRemoved(const DiscoveredServer &Server,
                                 TimePoint Now) {
  while (!RemovedServers.empty() &&
         (Now - RemovedServers.front().At > RemovedMemoryTime ||
          RemovedServers.size() >= MaxRemoved))
    RemovedServers.pop_front();
  RemovedServers.push_back(RemovedServer{Server, Now});
}

bool ServerFeed::wasRemoved(const DiscoveredServer &Server) const {
  return std::any_of(RemovedServers.begin(), RemovedServers.end(),
                     [&](const RemovedServer &R) {
                       return isSameIncarnation(R.Server, Server);
                     });
}

std::vector<DiscoveredServer> ServerFeed::beginEra(TimePoint SeenAt) {
  EraBegins = true;
  ReturnedAt = std::max(ReturnedAt, SeenAt);
  std::vector<DiscoveredServer> Draining;
  for (auto &[Id, E] : Entries) {
    E.Revision = E.WithheldRevision = 0;
    E.WithheldUntil = absl::InfiniteFuture();
    if (E.Server && E.Server->Draining)
      Draining.push_back(*E.Server);
  }
  for (const RemovedServer &R : RemovedServers)
    if (R.Server.Draining)
      Draining.push_back(R.Server);
  return Draining;
}

bool ServerFeed::withholdStale(const FeedEntry &Update, Entry &E,
                               TimePoint Now) {
  if (!Update.Server)
    return false;
  const bool IsKnown = E.Server && isSameIncarnation(*E.Server, *Update.Server);
  const bool IsKept = IsKnown && E.ExpiresAt != absl::InfiniteFuture();
  const bool WasRemoved = !IsKnown && wasRemoved(*Update.Server);
  if (!IsKept && !WasRemoved)
    return false;
  E.Revision = E.WithheldRevision = Update.Revision;
  E.Withheld = Update.Server;
  E.WithheldUntil = Now + WithholdTime;
  // The copy lacks the incarnation that has replaced it.
  if (E.Server && E.ExpiresAt == absl::InfiniteFuture()) {
    E.Lapsed = true;
    keepUntil(E, ReturnedAt + Options.ReturnTime);
  }
  return true;
}

void ServerFeed::drop(const std::string &Id, Entry &E, TimePoint Now,
                      std::vector<FeedChange> &Out) {
  rememberRemoved(*E.Server, Now);
  E.Server.reset();
  E.ExpiresAt = absl::InfiniteFuture();
  E.Lapsed = false;
  Out.push_back(FeedChange{Id, std::nullopt});
}

void ServerFeed::remove(const std::string &Id, Entry &E, std::uint64_t Revision,
                        bool Many, TimePoint Now,
                        std::vector<FeedChange> &Out) {
  E.Revision = Revision;
  // The end of a server that is kept has been set when it was missed first.
  if (!E.Server || E.ExpiresAt != absl::InfiniteFuture())
    return;
  E.Lapsed = ReturnedAt != absl::InfinitePast() && CurrentAsOf <= ReturnedAt;
  TimePoint Until = ReturnedAt + Options.ReturnTime;
  const bool EndKnown = !E.Lapsed && CurrentAsOf != absl::InfinitePast();
  if (!E.Lapsed)
    Until =
        Now + (Many ? std::max(Options.ReturnTime, Options.RemovalGracePeriod)
                    : Options.RemovalGracePeriod);
  if (EndKnown)
    Until = std::min(Until,
                     CurrentAsOf + Options.LeavingTime - Options.LeavingMargin);
  // A draining server does not register again.
  if (E.Server->Draining || Until <= Now) {
    drop(Id, E, Now, Out);
    return;
  }
  keepUntil(E, Until);
  if (!EndKnown || Options.LeavingTime == absl::InfiniteDuration())
    return;
  E.Server->MayEndAt = CurrentAsOf + Options.LeavingTime;
  Out.push_back(FeedChange{Id, E.Server});
}

void ServerFeed::applyOne(const FeedEntry &Update, bool Many, TimePoint Now,
                          std::vector<FeedChange> &Out) {
  Entry &E = Entries[Update.Id];
  if (Update.Revision < E.Revision ||
      (EraBegins && withholdStale(Update, E, Now)))
    return;
  if (E.WithheldRevision != 0 && Update.Revision == E.WithheldRevision)
    return;
  // A read that follows a watch returns what the watch has told: it must not
  // renew what the entry says of the time when it was written.
  if (Update.Server && Update.Revision == E.Revision &&
      Update.Server == E.Server)
    return;
  E.WithheldRevision = 0;
  E.WithheldUntil = absl::InfiniteFuture();
  if (!Update.Server) {
    remove(Update.Id, E, Update.Revision, Many, Now, Out);
    return;
  }
  E.Revision = Update.Revision;
  if (E.Server && !isSameIncarnation(*E.Server, *Update.Server))
    rememberRemoved(*E.Server, Now);
  E.Server = Update.Server;
  E.ExpiresAt = absl::InfiniteFuture();
  E.Lapsed = false;
  Out.push_back(FeedChange{Update.Id, E.Server});
}

bool ServerFeed::isMassRemoval(std::size_t Removed) const {
  return Removed >= MinMassRemoval &&
         static_cast<double>(Removed) >=
             MassRemovalShare * static_cast<double>(size());
}

void ServerFeed::dropReplaced(TimePoint Now, std::vector<FeedChange> &Out) {
  const bool AnyKept =
      std::any_of(Entries.begin(), Entries.end(), [](const auto &Item) {
        return Item.second.ExpiresAt != absl::InfiniteFuture();
      });
  if (!AnyKept)
    return;
  absl::flat_hash_set<std::string> Listed;
  for (const auto &[Id, E] : Entries)
    if (E.Server && E.ExpiresAt == absl::InfiniteFuture())
      Listed.insert(E.Server->Address);
  for (auto &[Id, E] : Entries)
    if (E.ExpiresAt != absl::InfiniteFuture() &&
        Listed.contains(E.Server->Address))
      drop(Id, E, Now, Out);
}

std::vector<FeedChange> ServerFeed::apply(const std::vector<FeedEntry> &Updates,
                                          TimePoint Now) {
  const auto Removals = static_cast<std::size_t>(
      std::count_if(Updates.begin(), Updates.end(), [&](const FeedEntry &U) {
        auto Found = Entries.find(U.Id);
        return !U.Server && Found != Entries.end() && isListed(Found->second) &&
               U.Revision >= Found->second.Revision;
      }));
  const bool Many = isMassRemoval(Removals);
  std::vector<FeedChange> Out;
  for (const FeedEntry &Update : Updates)
    applyOne(Update, Many, Now, Out);
  dropReplaced(Now, Out);
  return Out;
}

std::vector<FeedChange>
ServerFeed::replaceAll(const std::vector<FeedEntry> &Updates,
                       std::uint64_t Revision, TimePoint Now) {
  std::vector<FeedChange> Out;
  absl::flat_hash_set<std::string> Present;
  for (const FeedEntry &Update : Updates)
    Present.insert(Update.Id);
  auto IsMissing = [&](const std::string &Id, const Entry &E) {
    return !Present.contains(Id) && E.Revision <= Revision;
  };
  const auto Missing = static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Item) {
        return IsMissing(Item.first, Item.second) && isListed(Item.second);
      }));
  const bool Many = isMassRemoval(Missing);
  for (const FeedEntry &Update : Updates)
    applyOne(Update, Many, Now, Out);
  for (auto &[Id, E] : Entries)
    if (IsMissing(Id, E))
      remove(Id, E, Revision, Many, Now, Out);
  // Removals are remembered only while updates with older revisions may still
  // arrive, which is no longer the case after a full read.
  absl::erase_if(Entries, [&](const auto &Item) {
    // A withheld entry must be recognized in later reads.
    return !Item.second.Server && Item.second.Revision <= Revision &&
           !(Item.second.WithheldRevision != 0 && Present.contains(Item.first));
  });
  EraBegins = false;
  dropReplaced(Now, Out);
  return Out;
}

bool ServerFeed::isConfirmed(const Entry &E) const {
  return CurrentAsOf >= E.WithheldUntil - MaxWithheldAge;
}

std::vector<FeedChange> ServerFeed::expire(TimePoint Now) {
  std::vector<FeedChange> Out;
  for (auto &[Id, E] : Entries) {
    if (Now >= E.WithheldUntil && isConfirmed(E)) {
      E.WithheldUntil = E.ExpiresAt = absl::InfiniteFuture();
      E.WithheldRevision = 0;
      E.Lapsed = false;
      E.Server = E.Withheld;
      Out.push_back(FeedChange{Id, E.Server});
      continue;
    }
    if (E.Server && Now >= E.ExpiresAt && !needsProof(E))
      drop(Id, E, Now, Out);
  }
  return Out;
}

TimePoint ServerFeed::nextExpiry() const {
  TimePoint Next = absl::InfiniteFuture();
  for (const auto &[Id, E] : Entries) {
    if (!needsProof(E))
      Next = std::min(Next, E.ExpiresAt);
    if (isConfirmed(E))
      Next = std::min(Next, E.WithheldUntil);
  }
  return Next;
}

TimePoint ServerFeed::nextProofDue() const {
  TimePoint Next = absl::InfiniteFuture();
  for (const auto &[Id, E] : Entries)
    if (needsProof(E))
      Next = std::min(Next, E.ExpiresAt);
  return Next;
}

std::size_t ServerFeed::size() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(),
                    [](const auto &Item) { return bool(Item.second.Server); }));
}

} // namespace quetzallead
