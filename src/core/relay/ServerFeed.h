#ifndef QUETZALLEAD_CORE_RELAY_SERVERFEED_H
#define QUETZALLEAD_CORE_RELAY_SERVERFEED_H

#include "absl/container/flat_hash_map.h"
#include "core/relay/DiscoveredServer.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzallead {

/// One update of the discovery feed: the entry of an id as of a revision.
struct FeedEntry {
  std::string Id;
  std::uint64_t Revision = 0;
  /// Empty if the entry was removed or cannot be decoded.
  std::optional<DiscoveredServer> Server;
};

/// A change of the server set that results from feed updates.
struct FeedChange {
  std::string Id;
  /// Empty if the server was removed.
  std::optional<DiscoveredServer> Server;
};

/// How long a ServerFeed keeps servers that its source lacks.
struct ServerFeedOptions {
  /// Time after the return of the source within which servers whose entries
  /// lapsed may register again.
  Duration ReturnTime = absl::ZeroDuration();
  /// How long an entry is kept that is removed while the source is available.
  Duration RemovalGracePeriod = absl::ZeroDuration();
  /// Time for which a server still serves after its entry was removed.
  Duration LeavingTime = absl::InfiniteDuration();
  /// Part of LeavingTime in which it gets no new requests.
  Duration LeavingMargin = absl::ZeroDuration();
};

/// Current set of backend servers, from a discovery source that is read in
/// pages and then watched for changes. The newest revision of an entry wins
/// regardless of the order of arrival.
///
/// Entries that lapsed while the source was away are kept for ReturnTime after
/// its return, since servers need time to register again. An outage may be
/// missed, so other entries that are removed without having been drained are
/// kept for a grace period too, which is longer if many are removed at once. It
/// ends before the server may end: LeavingTime counts from the last time at
/// which the entry is known to have been there, however late the removal is
/// heard of. Once a removal is known only an outage that may have kept the
/// server from registering again postpones its end.
///
/// A source that is restored from an older copy assigns revisions again, and
/// may list servers that had been removed. Such an entry is withheld until the
/// server writes it again, or the source has kept it for some time.
class ServerFeed {
public:
  explicit ServerFeed(ServerFeedOptions Options);

  /// Called when a server that the source has removed is kept in use until
  /// \p Until, and again if that time changes. May be empty.
  std::function<void(const DiscoveredServer &, TimePoint Until)> OnKept;

  /// The source has served a call at \p At. Entries that lapsed in an outage
  /// are kept until it has done so at the end of their time: it may be away
  /// again.
  void onSourceServed(TimePoint At);
  /// The source was away for so long that entries may have lapsed, and has been
  /// back since \p At.
  void onSourceReturned(TimePoint At);
  /// Handles a restore of the source from an older copy, noticed at \p SeenAt:
  /// revisions of the former era are forgotten, and the next replaceAll()
  /// passes the restored entries. Returns the incarnations that were draining.
  std::vector<DiscoveredServer> beginEra(TimePoint SeenAt);
  /// All changes that the source had made by \p AsOf have been applied.
  void onCurrent(TimePoint AsOf);
  /// Applies updates from the watch.
  std::vector<FeedChange> apply(const std::vector<FeedEntry> &Updates,
                                TimePoint Now);
  /// Applies a full read at \p Revision: entries that are not newer and not
  /// among \p Updates have been removed.
  std::vector<FeedChange> replaceAll(const std::vector<FeedEntry> &Updates,
                                     std::uint64_t Revision, TimePoint Now);
  /// Drops removed entries whose grace period has ended, and applies withheld
  /// entries that the source still has.
  std::vector<FeedChange> expire(TimePoint Now);
  /// When expire() is due; infinite if no removed entry is kept.
  TimePoint nextExpiry() const;
  /// When expire() will need to know whether the source serves; infinite if it
  /// will not.
  TimePoint nextProofDue() const;
  std::size_t size() const;

private:
  struct Entry {
    std::uint64_t Revision = 0;
    std::optional<DiscoveredServer> Server;
    /// Revision of the update that is withheld; 0 if none is.
    std::uint64_t WithheldRevision = 0;
    /// The server of that update. It is applied at WithheldUntil unless the
    /// source removes or writes the entry before.
    std::optional<DiscoveredServer> Withheld;
    TimePoint WithheldUntil = absl::InfiniteFuture();
    /// End of the time for which the server is kept; infinite unless the source
    /// lacks it.
    TimePoint ExpiresAt = absl::InfiniteFuture();
    /// The entry may have lapsed while the source was away.
    bool Lapsed = false;
  };

  /// An incarnation that the source has removed.
  struct RemovedServer {
    DiscoveredServer Server;
    TimePoint At;
  };

  void rememberRemoved(const DiscoveredServer &Server, TimePoint Now);
  bool wasRemoved(const DiscoveredServer &Server) const;
  /// Withholds \p Update of a restored copy if its incarnation has been removed
  /// or replaced before; returns whether it does.
  bool withholdStale(const FeedEntry &Update, Entry &E, TimePoint Now);
  /// Applies one of several updates, of which many are removals if \p Many is
  /// set.
  void applyOne(const FeedEntry &Update, bool Many, TimePoint Now,
                std::vector<FeedChange> &Out);
  /// Handles that the source lacks the entry.
  void remove(const std::string &Id, Entry &E, std::uint64_t Revision,
              bool Many, TimePoint Now, std::vector<FeedChange> &Out);
  void drop(const std::string &Id, Entry &E, TimePoint Now,
            std::vector<FeedChange> &Out);
  /// Keeps the removed server of \p E until \p Until.
  void keepUntil(Entry &E, TimePoint Until);
  /// Drops kept servers whose address the source lists for another one.
  void dropReplaced(TimePoint Now, std::vector<FeedChange> &Out);
  /// Whether the source has the entry and its server takes requests.
  static bool isListed(const Entry &E) {
    return E.Server && !E.Server->Draining &&
           E.ExpiresAt == absl::InfiniteFuture();
  }
  /// Whether \p Removed removals at once are many.
  bool isMassRemoval(std::size_t Removed) const;
  /// Whether the withheld entry of \p E would have been removed by now if its
  /// server had ended.
  bool isConfirmed(const Entry &E) const;
  /// Whether the end of the time of \p E depends on a further call of the
  /// source.
  bool needsProof(const Entry &E) const {
    return E.Lapsed && E.ExpiresAt != absl::InfiniteFuture() &&
           SourceServedAt < E.ExpiresAt;
  }

  ServerFeedOptions Options;
  TimePoint SourceServedAt = absl::InfinitePast();
  /// Time as of which the entries are complete.
  TimePoint CurrentAsOf = absl::InfinitePast();
  /// When the source last came back from an outage or an older copy.
  TimePoint ReturnedAt = absl::InfinitePast();
  /// The next full read is the first one of an era.
  bool EraBegins = false;
  /// Oldest first.
  std::deque<RemovedServer> RemovedServers;
  absl::flat_hash_map<std::string, Entry> Entries;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SERVERFEED_H
