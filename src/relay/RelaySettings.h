#ifndef QUETZALLEAD_RELAY_RELAYSETTINGS_H
#define QUETZALLEAD_RELAY_RELAYSETTINGS_H

#include "core/relay/ExtraLoadBudget.h"
#include "core/relay/HomeSelection.h"
#include "quetzallead/Error.h"
#include "quetzallead/Time.h"
#include "runtime/Logger.h"
#include <map>
#include <string>

namespace quetzallead {

/// The settings of one relay daemon, read at startup only.
struct RelaySettings {
  std::string Instance;
  std::string Zone;
  /// Region by availability zone; empty if the deployment names no regions.
  std::map<std::string, std::string> ZoneRegions;
  std::string CallerListen;
  std::string ReadinessListen;
  /// Address at which metrics are scraped; empty to disable metrics.
  std::string MetricsListen;
  /// Address for requests from other instances; empty to serve every request of
  /// a caller from this instance.
  std::string LinkListen;
  MachineResources Machine;
  HomePolicy Homes;
  /// "ip:port" of the platform's store.
  std::string StoreAddress;
  /// Timeout of a store call, not counting the wait time of a watch.
  Duration StoreTimeout = absl::Seconds(2);
  /// Grace period from the stop signal to the end of the process.
  Duration StopGrace = absl::Seconds(6);
  /// Time after the store becomes available again within which a backend server
  /// that is missing from it may register again.
  Duration ReturnTime = absl::Seconds(2);
  /// Shortest outage of the store in which entries of backend servers may
  /// lapse: twice the interval at which servers renew them, if they lapse after
  /// three.
  Duration LapseTime = absl::Milliseconds(2400);
  /// Time for which a backend server still serves after its entry was removed
  /// from the store.
  Duration LeavingTime = absl::Seconds(3);
  /// Limits on the attempts beyond the first ones (hedges and retries) of all
  /// instances together.
  ExtraLoadLimits ExtraLoad;
  LogLevel Log = LogLevel::Info;
  /// Limit per event name. Enough to diagnose faults while logging takes only a
  /// small part of the CPU time under load.
  double LogLinesPerSecond = 20;
};

/// Parses settings from JSON with comments and validates every key. Fails with
/// InvalidArgument, where Error::Where names the invalid field.
Result<RelaySettings> parseRelaySettings(absl::string_view Text);

/// Like parseRelaySettings(), but reads a file; Error::Where begins with
/// \p Path. Fails with NotFound if the file cannot be read.
Result<RelaySettings> loadRelaySettings(const std::string &Path);

/// Environment variable that overrides RelaySettings::ZoneRegions: a deployment
/// that fills in settings files for several builds need not change their form.
inline constexpr char ZoneRegionsVariable[] = "QUETZALLEAD_ZONE_REGIONS";

/// Sets the regions from \p Text, a JSON object of regions by zone. Fails with
/// InvalidArgument and leaves \p S as it is if it is none.
Result<bool> applyZoneRegions(absl::string_view Text, RelaySettings &S);

/// Formats the effective settings as indented JSON that parseRelaySettings()
/// accepts.
std::string formatRelaySettings(const RelaySettings &S);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYSETTINGS_H
