#ifndef QUETZALLEAD_DAEMON_SETTINGS_H
#define QUETZALLEAD_DAEMON_SETTINGS_H

#include "quetzallead/Error.h"
#include "quetzallead/NameTable.h"
#include "quetzallead/RoutingPolicy.h"
#include "quetzallead/Time.h"
#include "runtime/Logger.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// Where the hedge policy of a request comes from.
enum class HedgingChoice {
  Sheet, ///< From its service in the sheet.
  None,  ///< No hedges, whatever the sheet says.
  Fixed, ///< After PolicySettings::HedgeDelay, whatever the sheet says.
};

inline constexpr NamedValue<HedgingChoice> HedgingChoiceNames[] = {
    {HedgingChoice::Sheet, "sheet"},
    {HedgingChoice::None, "none"},
    {HedgingChoice::Fixed, "fixed"},
};

struct PlatformSettings {
  /// "ip:port" of the platform's HTTP interface.
  std::string Address;
  /// Limit on a call, without the waiting time of a watch.
  Duration Timeout = absl::Seconds(2);
};

struct LogSettings {
  LogLevel Level = LogLevel::Info;
  /// Standard error if empty.
  std::string File;
};

struct TransportSettings {
  unsigned ClientThreads = 2;
  unsigned ServerThreads = 2;
};

struct LimitSettings {
  /// Sub-requests that may wait for one shard.
  int QueuePerShard = 64;
  /// Caller requests in progress.
  int MaxInFlight = 4096;
  std::size_t MaxBodyBytes = std::size_t{1} << 20;
};

struct PolicySettings {
  RoutingPolicy Routing = RoutingPolicy::ExpectedCompletion;
  HedgingChoice Hedging = HedgingChoice::Sheet;
  Duration HedgeDelay = absl::Milliseconds(20);
  /// Attempts beyond the first, as a share of first attempts, 0 to 1.
  double ExtraLoadShare = 0.05;
};

struct DrainSettings {
  /// Longest time that a planned stop waits for requests in flight.
  Duration Grace = absl::Seconds(30);
};

struct TraceSettings {
  /// Where surveys are recorded for replay; nowhere if empty.
  std::string File;
  /// Every so many surveys one is recorded.
  std::uint64_t Every = 1;
};

/// The settings of one daemon. Fixed from start to stop.
struct Settings {
  std::string Instance;
  std::string Zone;
  std::string CallerListen;
  std::string AdminListen;
  std::string PeerListen;
  std::string MetricsListen;
  PlatformSettings Platform;
  std::string SecretsFile;
  /// Peer listeners known ahead of the platform's list, "ip:port" each.
  std::vector<std::string> Peers;
  LogSettings Log;
  TransportSettings Transport;
  LimitSettings Limits;
  PolicySettings Policy;
  DrainSettings Drain;
  TraceSettings Trace;
};

/// Reads settings from JSON with comments and checks every key. Fails with
/// InvalidArgument; Where is the field at fault.
Result<Settings> parseSettings(absl::string_view Text);

/// As parseSettings(), from a file; Where begins with \p Path. Fails with
/// NotFound if the file cannot be read.
Result<Settings> loadSettings(const std::string &Path);

/// The effective values as indented JSON that parseSettings() accepts. Holds
/// the name of the secrets file, never its content.
std::string formatSettings(const Settings &S);

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_SETTINGS_H
