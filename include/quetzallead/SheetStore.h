#ifndef QUETZALLEAD_SHEETSTORE_H
#define QUETZALLEAD_SHEETSTORE_H

#include "quetzallead/Time.h"
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace quetzallead {

struct SheetAction;
struct SheetDocument;
struct SheetEvent;
struct SheetStoreOptions;
struct SheetStoreState;

/// One instance's part in accepting and keeping the sheet: a state machine
/// without clock, sockets or threads. Feed it events, carry out the actions.
///
/// The document in force never goes back to a lower revision. A submission is
/// answered Accepted only if it stands in the audit, and Conflict, Rejected or
/// Unavailable only if no write of it can take effect any more. A store that
/// returns with an older document gets the newer one written back. Histories
/// that diverged are joined: the later one governs and the entries of the
/// other are kept in the audit as superseded. Not thread-safe.
class SheetStore {
public:
  /// \p Seed draws the jitter of pauses.
  SheetStore(SheetStoreOptions Options, std::uint64_t Seed);
  ~SheetStore();
  SheetStore(SheetStore &&) noexcept;
  SheetStore &operator=(SheetStore &&) noexcept;

  /// Takes in \p Event and returns what is to be done, in order. \p Now must
  /// not decrease.
  std::vector<SheetAction> step(const SheetEvent &Event, TimePoint Now);

  /// The document in force; null before the first.
  std::shared_ptr<const SheetDocument> inForce() const;
  /// When the next Tick is due; infinite if only another event can help.
  TimePoint nextWakeUp() const;
  /// Submissions that are not settled.
  std::size_t unsettled() const;

private:
  std::unique_ptr<SheetStoreState> State;
};

} // namespace quetzallead

#endif // QUETZALLEAD_SHEETSTORE_H
