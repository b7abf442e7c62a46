#ifndef QUETZALLEAD_RELAY_STOREITEM_H
#define QUETZALLEAD_RELAY_STOREITEM_H

#include "quetzallead/NameTable.h"
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// One key of a revisioned store, or word of its removal.
struct StoreItem {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
  bool Removed = false;
};

/// How a call to the store ended.
enum class StoreOutcome {
  Done,
  NotFound,    ///< The key or lease does not exist.
  HistoryGone, ///< The changes after a revision are no longer kept.
  Conflict,    ///< The condition of a write does not hold.
  Refused,     ///< The store turns the call away; nothing was done.
  Unknown,     ///< No answer: a write may have been done, or may be yet.
  BadReply,    ///< The answer cannot be read.
};

inline constexpr NamedValue<StoreOutcome> StoreOutcomeNames[] = {
    {StoreOutcome::Done, "done"},
    {StoreOutcome::NotFound, "not_found"},
    {StoreOutcome::HistoryGone, "history_gone"},
    {StoreOutcome::Conflict, "conflict"},
    {StoreOutcome::Refused, "refused"},
    {StoreOutcome::Unknown, "unknown"},
    {StoreOutcome::BadReply, "bad_reply"},
};

/// Items or changes, as a reading or a watch returns them.
struct StorePage {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  std::vector<StoreItem> Items;
  /// More items follow behind the last key.
  bool More = false;
  /// Revision of the store.
  std::uint64_t Revision = 0;
};

/// The answer to a call that grants, renews or writes.
struct StoreReply {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  /// The lease, where one was asked for.
  std::uint64_t Lease = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_STOREITEM_H
