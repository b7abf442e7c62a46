#ifndef QUETZALLEAD_RELAY_SERVERCONTACTMONITOR_H
#define QUETZALLEAD_RELAY_SERVERCONTACTMONITOR_H

#include "core/relay/BackendPool.h"
#include "core/relay/ServerContact.h"
#include "relay/LoopTimers.h"
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace quetzallead {

class BackendClient;
class RelayMetrics;
class RelayState;

/// Follows whether this instance is in contact with the backend servers: feeds
/// a ServerContact with what the connections show, probes servers when all are
/// silent, and marks all as out of reach once they are lost. Remembers which
/// routes other instances could not serve either.
class ServerContactMonitor {
public:
  ServerContactMonitor(RelayState &State, BackendClient &Backends,
                       LoopTimers &Timers, RelayMetrics &Metrics);

  /// Called once the servers are lost, after they have been marked; may be
  /// empty.
  std::function<void()> OnLost;

  /// Requests should not be sent to backend servers from here if another
  /// instance can take them.
  bool avoidsServers() const {
    return Contact.state() != ContactState::InContact;
  }
  /// The backend servers are lost, or too few have returned: requests of other
  /// instances are passed back.
  bool lost() const { return !Contact.servesOthers(); }
  /// They are lost, or have only just returned.
  bool lostOrReturning() const {
    return avoidsServers() && Contact.state() != ContactState::Suspected;
  }

  /// No home could take a request of \p Route, whose servers cannot be reached
  /// from here.
  void noteUnservable(const std::string &Route, TimePoint Now);
  /// Whether that was so a moment ago.
  bool isUnservable(const std::string &Route, TimePoint Now) const;

private:
  void onSent();
  void onHeard();
  void scheduleCheck();
  void check();
  void probe();
  void onLost();
  void logLoss(const ServerContactSample &Sample, TimePoint Now) const;

  RelayState &State;
  BackendClient &Backends;
  LoopTimers &Timers;
  RelayMetrics &Metrics;
  ServerContact Contact;
  std::shared_ptr<LoopTimers::Subscription> CheckTimer;
  /// A check waits for what the sockets have received.
  bool CheckPending = false;
  int OpenProbes = 0;
  int RefusedProbes = 0;
  /// Identifies the probes of the current suspicion.
  std::uint64_t ProbeRound = 0;
  TimePoint LostAt = absl::InfinitePast();
  /// By route: until when no home is asked.
  std::map<std::string, TimePoint> UnservableUntil;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_SERVERCONTACTMONITOR_H
