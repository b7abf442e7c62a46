#ifndef QUETZALLEAD_RELAY_RELAYSETTINGS_H
#define QUETZALLEAD_RELAY_RELAYSETTINGS_H

#include "core/relay/ExtraLoadBudget.h"
#include "quetzallead/Error.h"
#include "quetzallead/Time.h"
#include "runtime/Logger.h"
#include <string>

namespace quetzallead {

/// The settings of one relay daemon. Fixed from start to stop.
struct RelaySettings {
  std::string Instance;
  std::string Zone;
  std::string CallerListen;
  std::string ReadinessListen;
  /// Where metrics are scraped; empty for nowhere.
  std::string MetricsListen;
  /// "ip:port" of the platform's store.
  std::string StoreAddress;
  /// Limit on a call to the store, without the waiting time of a watch.
  Duration StoreTimeout = absl::Seconds(2);
  /// From the stop signal to the end of the process.
  Duration StopGrace = absl::Seconds(6);
  /// How long after the return of the store a backend server that is missing
  /// there may still come back.
  Duration ReturnTime = absl::Seconds(2);
  /// How long a backend server still serves after it left the store.
  Duration LeavingTime = absl::Seconds(3);
  /// What all instances together may send beyond first attempts.
  ExtraLoadLimits ExtraLoad;
  LogLevel Log = LogLevel::Info;
  /// Log lines of each event; enough to tell what happens, and a small part of
  /// the processor under load.
  double LogLinesPerSecond = 20;
};

/// Reads settings from JSON with comments and checks every key. Fails with
/// InvalidArgument; Where is the field at fault.
Result<RelaySettings> parseRelaySettings(absl::string_view Text);

/// As parseRelaySettings(), from a file; Where begins with \p Path. Fails with
/// NotFound if the file cannot be read.
Result<RelaySettings> loadRelaySettings(const std::string &Path);

/// The effective values as indented JSON that parseRelaySettings() accepts.
std::string formatRelaySettings(const RelaySettings &S);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYSETTINGS_H
