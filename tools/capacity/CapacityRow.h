#ifndef QUETZALLEAD_CAPACITY_CAPACITYROW_H
#define QUETZALLEAD_CAPACITY_CAPACITYROW_H

#include "capacity/Estimate.h"
#include "quetzallead/NameTable.h"
#include <string>

namespace quetzallead {

/// The roles that instances and tools play.
enum class CapacityRole {
  EntryInstance,
  StoreWatcher,
  Forwarder,
  Merging,
  CommandOwner,
  Sessions,
  Audit,
  Membership,
  CommandLine,
};

inline constexpr NamedValue<CapacityRole> CapacityRoleNames[] = {
    {CapacityRole::EntryInstance, "entry instance"},
    {CapacityRole::StoreWatcher, "watcher of the store"},
    {CapacityRole::Forwarder, "forwarder of queries"},
    {CapacityRole::Merging, "merging of answers"},
    {CapacityRole::CommandOwner, "command owner"},
    {CapacityRole::Sessions, "session handling"},
    {CapacityRole::Audit, "audit"},
    {CapacityRole::Membership, "membership"},
    {CapacityRole::CommandLine, "command-line tool"},
};

/// One figure of the page.
struct CapacityRow {
  CapacityRole Role = CapacityRole::EntryInstance;
  /// "state", "messages", "processor" or "memory", and of what.
  std::string Quantity;
  std::string Unit;
  Estimate Figure;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CAPACITY_CAPACITYROW_H
