#ifndef QUETZALLEAD_CORE_RELAY_SERVERFEED_H
#define QUETZALLEAD_CORE_RELAY_SERVERFEED_H

#include "absl/container/flat_hash_map.h"
#include "core/relay/DiscoveredServer.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzallead {

/// One word of the discovery feed: what stands under an id since a revision.
struct FeedEntry {
  std::string Id;
  std::uint64_t Revision = 0;
  /// Nothing if the entry was removed or cannot be read.
  std::optional<DiscoveredServer> Server;
};

/// What the feed makes of its entries.
struct FeedChange {
  std::string Id;
  /// Nothing if the server is gone.
  std::optional<DiscoveredServer> Server;
};

/// The backend servers that are there, from a feed that is read in pages and
/// followed by changes. Newer revisions win, whatever the order in which words
/// come. Entries that lapsed while the source was away are kept for a while
/// after its return, since servers need time to register again. That the
/// source was away is not always noticed: entries that vanish without a word
/// of leaving are kept for a while too, all the longer if many vanish at once.
class ServerFeed {
public:
  /// \p ReturnTime is how long after the return of the source a missing entry
  /// may still come back, \p LoneReturnTime how long one that vanishes while
  /// the source seems well.
  ServerFeed(Duration ReturnTime, Duration LoneReturnTime);

  /// The source does not answer.
  void sourceLost(TimePoint Now);
  /// The source answers again, or for the first time.
  void sourceBack(TimePoint Now);
  std::vector<FeedChange> apply(const std::vector<FeedEntry> &Entries,
                                TimePoint Now);
  /// \p Entries is all there is since \p Revision: what is older and not among
  /// them has been removed.
  std::vector<FeedChange> replaceAll(const std::vector<FeedEntry> &Entries,
                                     std::uint64_t Revision, TimePoint Now);
  /// Drops the entries whose time to come back has passed.
  std::vector<FeedChange> expire(TimePoint Now);
  /// When expire() is due; infinite if nothing waits.
  TimePoint nextExpiry() const;
  std::size_t size() const;

private:
  struct Entry {
    std::uint64_t Revision = 0;
    std::optional<DiscoveredServer> Server;
    /// The entry is gone from the source, and is kept until then.
    TimePoint GoneAt = absl::InfiniteFuture();
  };

  void applyOne(const FeedEntry &Word, TimePoint Now,
                std::vector<FeedChange> &Out);
  void remove(const std::string &Id, Entry &E, std::uint64_t Revision,
              TimePoint Now, std::vector<FeedChange> &Out);

  /// Takes many removals at once for a lapse.
  void noteLapse(const std::vector<FeedEntry> &Words, TimePoint Now);

  Duration ReturnTime;
  Duration LoneReturnTime;
  bool SourceAway = false;
  TimePoint LapsesUntil = absl::InfinitePast();
  absl::flat_hash_map<std::string, Entry> Entries;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SERVERFEED_H
