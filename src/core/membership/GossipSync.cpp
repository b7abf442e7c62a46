#include "core/membership/GossipSync.h"

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "core/membership/GossipCodec.h"
#include "core/membership/MemberTable.h"
#include "core/membership/NoticeBoard.h"
#include <array>

namespace quetzallead {
namespace {

using BucketFlags = std::array<bool, GossipMessage::BucketCount>;

/// Adds items to a message while they fit.
class Filler {
public:
  Filler(GossipMessage &Message, std::size_t MaxBytes)
      : To(Message), Room(MaxBytes) {}

  void add(const MemberRecord &R) { place(R, To.Members); }
  void add(const ServerNotice &N) { place(N, To.Servers); }
  void add(const DepartureNotice &N) { place(N, To.Departures); }
  bool isFull() const { return Full; }
  bool isEmpty() const { return Empty; }

private:
  template <typename T> void place(const T &Item, std::vector<T> &Items) {
    const std::size_t Bytes = encodedBytes(Item);
    if (Bytes > Room) {
      Full = true;
      return;
    }
    Room -= Bytes;
    Empty = false;
    Items.push_back(Item);
  }

  GossipMessage &To;
  std::size_t Room;
  bool Full = false;
  bool Empty = true;
};

/// Offers \p Take everything in the buckets that are set.
template <typename Visitor>
void visitBuckets(const BucketFlags &Chosen, const MemberTable &Members,
                  const NoticeBoard &Notices, Visitor &&Take) {
  for (const auto &[Name, E] : Members.entries())
    if (Chosen[E.Bucket] && E.Record.Incarnation != 0)
      Take(E.Record);
  for (const auto &[Name, N] : Notices.servers())
    if (Chosen[BucketDigests::bucketOf(Name)])
      Take(N);
  for (const auto &[Key, N] : Notices.departures())
    if (Chosen[BucketDigests::bucketOf(N.Instance)])
      Take(N);
}

/// Whether a message's content would change what is held.
class NewerFinder {
public:
  explicit NewerFinder(const GossipMessage &Message) {
    for (const MemberRecord &R : Message.Members)
      Members.emplace(R.Name, &R);
    for (const ServerNotice &N : Message.Servers)
      Servers.emplace(N.Server, &N);
    for (const DepartureNotice &N : Message.Departures)
      Departures.emplace(N.Instance, N.Incarnation);
  }
  bool isNewer(const MemberRecord &Held) const {
    const auto It = Members.find(Held.Name);
    if (It == Members.end())
      return Held.isPresent();
    return !(merge(Held, *It->second) == *It->second);
  }
  bool isNewer(const ServerNotice &Held) const {
    const auto It = Servers.find(Held.Server);
    return It == Servers.end() || supersedes(Held, *It->second);
  }
  bool isNewer(const DepartureNotice &Held) const {
    return !Departures.contains({Held.Instance, Held.Incarnation});
  }

private:
  absl::btree_map<std::string, const MemberRecord *> Members;
  absl::btree_map<std::string, const ServerNotice *> Servers;
  absl::btree_set<std::pair<std::string, std::uint64_t>> Departures;
};

std::uint64_t bucketDigest(const MemberTable &Members,
                           const NoticeBoard &Notices, std::size_t Bucket) {
  return Members.digests().of(Bucket) ^ Notices.digests().of(Bucket);
}

} // namespace

void addDigests(GossipMessage &Request, const MemberTable &Members,
                const NoticeBoard &Notices) {
  Request.Buckets.clear();
  for (std::size_t B = 0; B < GossipMessage::BucketCount; ++B)
    Request.Buckets.push_back(bucketDigest(Members, Notices, B));
}

bool addDifferingBuckets(GossipMessage &Answer, const GossipMessage &Request,
                         const MemberTable &Members, const NoticeBoard &Notices,
                         std::size_t First, std::size_t MaxBytes) {
  if (Request.Buckets.size() != GossipMessage::BucketCount)
    return false;
  Filler Fill(Answer, MaxBytes);
  for (std::size_t I = 0; I < GossipMessage::BucketCount; ++I) {
    const std::size_t B = (First + I) % GossipMessage::BucketCount;
    if (Request.Buckets[B] == bucketDigest(Members, Notices, B))
      continue;
    BucketFlags Chosen = {};
    Chosen[B] = true;
    visitBuckets(Chosen, Members, Notices,
                 [&](const auto &Item) { Fill.add(Item); });
    // A bucket that was cut off is not named: its absences mean nothing.
    if (Fill.isFull())
      break;
    Answer.Buckets.push_back(B);
  }
  return !Answer.Buckets.empty() || !Fill.isEmpty();
}

bool addNewerThan(GossipMessage &Answer, const GossipMessage &Sync,
                  const MemberTable &Members, const NoticeBoard &Notices,
                  std::size_t MaxBytes) {
  BucketFlags Chosen = {};
  for (const std::uint64_t B : Sync.Buckets)
    if (B < Chosen.size())
      Chosen[B] = true;
  const NewerFinder Finder(Sync);
  Filler Fill(Answer, MaxBytes);
  visitBuckets(Chosen, Members, Notices, [&](const auto &Item) {
    if (Finder.isNewer(Item))
      Fill.add(Item);
  });
  return !Fill.isEmpty();
}

} // namespace quetzallead
