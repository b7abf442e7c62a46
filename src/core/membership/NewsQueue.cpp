#include "core/membership/NewsQueue.h"

#include "core/membership/GossipCodec.h"
#include "core/membership/MemberTable.h"
#include "core/membership/NoticeBoard.h"
#include <algorithm>

namespace quetzallead {
namespace {

/// The most pieces of news that one message can hold.
constexpr std::size_t MaxItemsPerMessage = 64;

SheetReport sheetReportOf(const MemberRecord &R) {
  return {R.Name, incarnationTag(R.Incarnation), R.SheetRevision};
}

/// Adds \p News to \p To if it is there and fits into \p Room; false if it does
/// not fit.
template <typename T>
bool place(const T *News, std::vector<T> &To, std::size_t &Room) {
  const std::size_t Bytes = encodedBytes(*News);
  if (Bytes > Room)
    return false;
  Room -= Bytes;
  To.push_back(*News);
  return true;
}

} // namespace

void NewsQueue::add(Key K, bool Urgent) {
  Item &I = Items[std::move(K)];
  UrgentCount -= I.Urgent ? 1 : 0;
  I = Item{Urgent, 0};
  UrgentCount += I.Urgent ? 1 : 0;
}

void NewsQueue::fill(GossipMessage &Message, const MemberTable &Members,
                     const NoticeBoard &Notices, std::size_t MaxBytes,
                     int MaxSends) {
  std::vector<const ItemMap::value_type *> Order;
  Order.reserve(Items.size());
  for (const auto &Row : Items)
    Order.push_back(&Row);
  const auto GoesFirst = [](const auto *A, const auto *B) {
    return order(A->first, A->second) < order(B->first, B->second);
  };
  const std::size_t Count = std::min(Order.size(), MaxItemsPerMessage);
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Count),
                    Order.end(), GoesFirst);
  std::vector<Key> Sent;
  std::vector<Key> Gone;
  std::size_t Room = MaxBytes;
  for (std::size_t I = 0; I < Count; ++I) {
    const Key &K = Order[I]->first;
    const auto &[Kind, Name, Incarnation] = K;
    bool Placed = false;
    bool Found = false;
    if (Kind == NewsKind::Member) {
      const MemberTable::Entry *E = Members.find(Name);
      Found = E != nullptr;
      Placed = Found && place(&E->Record, Message.Members, Room);
    } else if (Kind == NewsKind::Sheet) {
      const MemberTable::Entry *E = Members.find(Name);
      Found = E != nullptr;
      if (Found) {
        const SheetReport Report = sheetReportOf(E->Record);
        Placed = place(&Report, Message.Sheets, Room);
      }
    } else if (Kind == NewsKind::Server) {
      const ServerNotice *N = Notices.server(Name);
      Found = N != nullptr;
      Placed = Found && place(N, Message.Servers, Room);
    } else {
      const DepartureNotice *N = Notices.departure(Name, Incarnation);
      Found = N != nullptr;
      Placed = Found && place(N, Message.Departures, Room);
    }
    if (!Found)
      Gone.push_back(K);
    else if (Placed)
      Sent.push_back(K);
    else
      break;
  }
  for (const Key &K : Gone)
    drop(K);
  for (const Key &K : Sent)
    markSent(K, MaxSends);
}

/// Urgent notices go before urgent news of members, of which a restart of many
/// instances brings many at once; then what was sent least.
std::tuple<bool, bool, int> NewsQueue::order(const Key &K, const Item &I) {
  const NewsKind Kind = std::get<NewsKind>(K);
  const bool IsNotice = Kind == NewsKind::Server || Kind == NewsKind::Departure;
  return {!I.Urgent, !IsNotice, I.Sends};
}

void NewsQueue::markSent(const Key &K, int MaxSends) {
  Item &I = Items.find(K)->second;
  ++I.Sends;
  if (I.Urgent && I.Sends >= UrgentSends) {
    I.Urgent = false;
    --UrgentCount;
  }
  // A revision that does not arrive is found by the digests soon enough.
  const bool IsSheet = std::get<NewsKind>(K) == NewsKind::Sheet;
  if (I.Sends >= (IsSheet ? MaxSends / 2 : MaxSends))
    drop(K);
}

void NewsQueue::drop(const Key &K) {
  const auto It = Items.find(K);
  UrgentCount -= It->second.Urgent ? 1 : 0;
  Items.erase(It);
}

} // namespace quetzallead
