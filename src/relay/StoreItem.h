#ifndef QUETZALLEAD_RELAY_STOREITEM_H
#define QUETZALLEAD_RELAY_STOREITEM_H

#include "quetzallead/NameTable.h"
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// One key of a revisioned store, or the event of its removal.
struct StoreItem {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
  bool Removed = false;
};

/// How a call to the store ended.
enum class StoreOutcome {
  Done,
  NotFound,         ///< The key or lease does not exist.
  HistoryCompacted, ///< The changes after the revision have been compacted.
  Conflict,         ///< The precondition of a write does not hold.
  Rejected,         ///< Not executed: rejected by the store, or never sent.
  Unknown,  ///< No response: a write may have taken effect or still may.
  BadReply, ///< The response is malformed or has an unexpected status.
};

inline constexpr NamedValue<StoreOutcome> StoreOutcomeNames[] = {
    {StoreOutcome::Done, "done"},
    {StoreOutcome::NotFound, "not_found"},
    {StoreOutcome::HistoryCompacted, "history_gone"},
    {StoreOutcome::Conflict, "conflict"},
    {StoreOutcome::Rejected, "refused"},
    {StoreOutcome::Unknown, "unknown"},
    {StoreOutcome::BadReply, "bad_reply"},
};

/// Items of a read, or changes of a watch.
struct StorePage {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  std::vector<StoreItem> Items;
  /// Whether more items follow after the last key.
  bool HasMore = false;
  /// Current revision of the store.
  std::uint64_t Revision = 0;
};

/// Response to a lease or write call.
struct StoreReply {
  StoreOutcome Outcome = StoreOutcome::Unknown;
  /// The granted lease; meaningful only for RevisionedStore::grantLease().
  std::uint64_t Lease = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_STOREITEM_H
