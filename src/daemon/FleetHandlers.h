#ifndef QUETZALLEAD_DAEMON_FLEETHANDLERS_H
#define QUETZALLEAD_DAEMON_FLEETHANDLERS_H

#include "core/membership/ServerNotice.h"
#include "daemon/PeerCalls.h"
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace quetzallead {

/// What the rest of the daemon does with news from the other instances. Called
/// on any thread, without locks of the fleet held; must not block.
struct FleetHandlers {
  /// An instance has this sheet revision in force.
  std::function<void(const std::string &Instance, std::uint64_t Revision)>
      OnSheetRevision;
  /// What holds of a backend server has changed.
  std::function<void(const ServerNotice &)> OnServerNotice;
  /// The number of live instances, this one included, has changed.
  std::function<void(int)> OnInstanceCount;
  /// A call of type \p Type came in.
  std::function<void(const std::string &Type, const nlohmann::json &Body,
                     PeerResponder)>
      OnCall;
  /// Another process goes by this instance's name: this one has to stop.
  std::function<void()> OnSuperseded;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_FLEETHANDLERS_H
