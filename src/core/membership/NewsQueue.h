#ifndef QUETZALLEAD_CORE_MEMBERSHIP_NEWSQUEUE_H
#define QUETZALLEAD_CORE_MEMBERSHIP_NEWSQUEUE_H

#include "absl/container/btree_map.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace quetzallead {

class MemberTable;
class NoticeBoard;
struct GossipMessage;

/// Which store a piece of news is in.
enum class NewsKind { Member, Sheet, Server, Departure };

/// What has changed lately and is still to be passed on. Holds names only; a
/// message is filled with the newest state of what they name.
class NewsQueue {
public:
  /// Names one piece of news; the incarnation only for departures.
  using Key = std::tuple<NewsKind, std::string, std::uint64_t>;

  /// Sends after which urgent news counts as ordinary.
  static constexpr int UrgentSends = 6;

  /// Queues news, from the beginning if it is queued already.
  void add(Key K, bool Urgent);
  /// True if urgent news is waiting.
  bool hasUrgent() const { return UrgentCount > 0; }
  std::size_t size() const { return Items.size(); }

  /// Adds to \p Message up to \p MaxBytes of news, urgent first, notices before
  /// members, then least sent. Drops what was sent \p MaxSends times, sheet
  /// revisions after half of that.
  void fill(GossipMessage &Message, const MemberTable &Members,
            const NoticeBoard &Notices, std::size_t MaxBytes, int MaxSends);

private:
  struct Item {
    bool Urgent = false;
    int Sends = 0;
  };
  using ItemMap = absl::btree_map<Key, Item>;

  static std::tuple<bool, bool, int> order(const Key &K, const Item &I);
  void markSent(const Key &K, int MaxSends);
  void drop(const Key &K);

  ItemMap Items;
  std::size_t UrgentCount = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_NEWSQUEUE_H
