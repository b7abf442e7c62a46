#ifndef QUETZALLEAD_CORE_RELAY_STORECONTACT_H
#define QUETZALLEAD_CORE_RELAY_STORECONTACT_H

#include "quetzallead/Time.h"

namespace quetzallead {

/// What a home follows in the store.
enum class FollowedData { Sheet, Servers };

/// Tells whether a home is in contact with the store, and whether it should
/// hand its requests over to homes that are.
///
/// Handles stores that turn away or do not answer some machines while they
/// serve the others, also without an error: a watch that hangs is noticed by a
/// sheet that other homes have had for a while. If no other home is in contact
/// either, the home serves on by what it knows.
class StoreContact {
public:
  void onLost(FollowedData What, TimePoint Now);
  void onBack(FollowedData What);
  /// The store has returned a sheet.
  void onSheetFromStore() { SheetFromHomeSince = absl::InfiniteFuture(); }
  /// A sheet of another home has come into force here.
  void onSheetFromHome(TimePoint Now);
  /// Another home has said that it is in contact.
  void onHomeInContact(TimePoint Now) { HomeInContactAt = Now; }

  bool lost(TimePoint Now) const;
  bool handsOver(TimePoint Now) const;

private:
  TimePoint SheetLostSince = absl::InfiniteFuture();
  TimePoint ServersLostSince = absl::InfiniteFuture();
  /// Since when the sheet in force is one that the store has not returned yet.
  TimePoint SheetFromHomeSince = absl::InfiniteFuture();
  TimePoint HomeInContactAt = absl::InfinitePast();
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_STORECONTACT_H
