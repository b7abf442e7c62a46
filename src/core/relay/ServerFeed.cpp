#include "core/relay/ServerFeed.h"
#include "absl/container/flat_hash_set.h"
#include <algorithm>

namespace quetzallead {

/// Removals in one batch that are a lapse, as a share of the servers there; and
/// their least number, since small fleets change by large shares.
static constexpr double LapseShare = 0.2;
static constexpr int LeastLapse = 3;

ServerFeed::ServerFeed(Duration GivenReturnTime, Duration GivenLoneReturnTime)
    : ReturnTime(GivenReturnTime), LoneReturnTime(GivenLoneReturnTime) {}

void ServerFeed::sourceLost(TimePoint) { SourceAway = true; }

void ServerFeed::sourceBack(TimePoint Now) {
  if (!SourceAway)
    return;
  SourceAway = false;
  LapsesUntil = Now + ReturnTime;
  for (auto &[Id, E] : Entries)
    if (E.GoneAt != absl::InfiniteFuture())
      E.GoneAt = LapsesUntil;
}

void ServerFeed::remove(const std::string &Id, Entry &E, std::uint64_t Revision,
                        TimePoint Now, std::vector<FeedChange> &Out) {
  E.Revision = Revision;
  if (!E.Server)
    return;
  // A server that said it leaves does not come back.
  const TimePoint Kept = std::max(LapsesUntil, Now + LoneReturnTime);
  if (!E.Server->Draining && Kept > Now) {
    E.GoneAt = std::min(E.GoneAt, Kept);
    return;
  }
  E.Server.reset();
  E.GoneAt = absl::InfiniteFuture();
  Out.push_back(FeedChange{Id, std::nullopt});
}

void ServerFeed::applyOne(const FeedEntry &Word, TimePoint Now,
                          std::vector<FeedChange> &Out) {
  Entry &E = Entries[Word.Id];
  if (Word.Revision < E.Revision)
    return;
  if (!Word.Server) {
    remove(Word.Id, E, Word.Revision, Now, Out);
    return;
  }
  E.Revision = Word.Revision;
  E.Server = Word.Server;
  E.GoneAt = absl::InfiniteFuture();
  Out.push_back(FeedChange{Word.Id, E.Server});
}

void ServerFeed::noteLapse(const std::vector<FeedEntry> &Words, TimePoint Now) {
  int Vanished = 0;
  for (const FeedEntry &Word : Words) {
    if (Word.Server)
      continue;
    auto Known = Entries.find(Word.Id);
    if (Known != Entries.end() && Known->second.Server &&
        !Known->second.Server->Draining)
      ++Vanished;
  }
  if (Vanished >= LeastLapse &&
      Vanished >= LapseShare * static_cast<double>(size()))
    LapsesUntil = std::max(LapsesUntil, Now + ReturnTime);
}

std::vector<FeedChange> ServerFeed::apply(const std::vector<FeedEntry> &Words,
                                          TimePoint Now) {
  noteLapse(Words, Now);
  std::vector<FeedChange> Out;
  for (const FeedEntry &Word : Words)
    applyOne(Word, Now, Out);
  return Out;
}

std::vector<FeedChange>
ServerFeed::replaceAll(const std::vector<FeedEntry> &Words,
                       std::uint64_t Revision, TimePoint Now) {
  std::vector<FeedChange> Out;
  absl::flat_hash_set<std::string> Present;
  for (const FeedEntry &Word : Words) {
    Present.insert(Word.Id);
    applyOne(Word, Now, Out);
  }
  for (auto &[Id, E] : Entries)
    if (!Present.contains(Id) && E.Revision <= Revision)
      remove(Id, E, Revision, Now, Out);
  // Words of removal are needed only while older ones may still be on their
  // way; a whole reading ends that.
  absl::erase_if(Entries, [&](const auto &Item) {
    return !Item.second.Server && Item.second.Revision <= Revision;
  });
  return Out;
}

std::vector<FeedChange> ServerFeed::expire(TimePoint Now) {
  std::vector<FeedChange> Out;
  if (SourceAway)
    return Out;
  for (auto &[Id, E] : Entries) {
    if (!E.Server || Now < E.GoneAt)
      continue;
    E.Server.reset();
    E.GoneAt = absl::InfiniteFuture();
    Out.push_back(FeedChange{Id, std::nullopt});
  }
  return Out;
}

TimePoint ServerFeed::nextExpiry() const {
  TimePoint Next = absl::InfiniteFuture();
  if (SourceAway)
    return Next;
  for (const auto &[Id, E] : Entries)
    Next = std::min(Next, E.GoneAt);
  return Next;
}

std::size_t ServerFeed::size() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(),
                    [](const auto &Item) { return bool(Item.second.Server); }));
}

} // namespace quetzallead
