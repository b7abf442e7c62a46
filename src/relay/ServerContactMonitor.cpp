#include "relay/ServerContactMonitor.h"
#include "core/relay/RelayState.h"
#include "relay/BackendClient.h"
#include "relay/RelayMetrics.h"
#include "runtime/Logger.h"
#include <algorithm>

namespace quetzallead {

/// Servers that are probed for a suspicion.
static constexpr std::size_t ProbeCount = 3;
/// How long a route that no home could serve is not offered to homes again.
static constexpr Duration UnservableTime = absl::Seconds(1);

ServerContactMonitor::ServerContactMonitor(RelayState &GivenState,
                                           BackendClient &GivenBackends,
                                           LoopTimers &GivenTimers,
                                           RelayMetrics &GivenMetrics)
    : State(GivenState), Backends(GivenBackends), Timers(GivenTimers),
      Metrics(GivenMetrics) {
  Backends.Observer.OnSent = [this] { onSent(); };
  Backends.Observer.OnHeard = [this] { onHeard(); };
  Backends.Observer.OnUnreachable = [this] { scheduleCheck(); };
}

void ServerContactMonitor::onSent() {
  Contact.onSent(LoopTimers::now());
  scheduleCheck();
}

void ServerContactMonitor::onHeard() {
  const ContactState Before = Contact.state();
  Contact.onHeard(LoopTimers::now());
  if (Before == Contact.state())
    return;
  CheckTimer.reset();
  scheduleCheck();
}

void ServerContactMonitor::scheduleCheck() {
  if (CheckTimer != nullptr || CheckPending)
    return;
  const TimePoint Due = Contact.nextCheck(LoopTimers::now());
  if (Due == absl::InfiniteFuture())
    return;
  CheckTimer = Timers.at(Due, [this](TimePoint) {
    CheckTimer.reset();
    CheckPending = true;
    // The loop may have been occupied while servers responded.
    Timers.afterReceived([this](TimePoint) {
      CheckPending = false;
      check();
    });
  });
}

void ServerContactMonitor::check() {
  const TimePoint Now = LoopTimers::now();
  const ServerContactSample Sample =
      State.contactSample(Contact.heardAt(), Now);
  const ContactState Before = Contact.state();
  Contact.advance(Sample, Now);
  const ContactState After = Contact.state();
  if (After == Before) {
    // A quiet instance needs no checks.
    if (After != ContactState::InContact || State.hasAttemptsInFlight())
      scheduleCheck();
    return;
  }
  if (After == ContactState::Suspected) {
    probe();
    if (Contact.state() == ContactState::Suspected)
      scheduleCheck();
  } else if (After == ContactState::Lost) {
    onLost();
  } else if (After == ContactState::InContact) {
    logEvent(LogLevel::Info, "servers_regained",
             {{"listed", Sample.Listed},
              {"silent", Sample.Silent},
              {"lost_ms", absl::ToInt64Milliseconds(Now - LostAt)},
              {"losses", Contact.losses()}});
    Metrics.serversRegained();
    State.grantPermits(Now);
  }
}

void ServerContactMonitor::probe() {
  const std::vector<ServerRef> Probed =
      State.serversToProbe(ProbeCount, Contact.heardAt(), LoopTimers::now());
  OpenProbes = static_cast<int>(Probed.size());
  RefusedProbes = 0;
  const std::uint64_t Round = ++ProbeRound;
  for (const ServerRef &Server : Probed)
    Backends.checkAlive(Server, [this, Round](bool Alive) {
      // A connection that was accepted has been reported to onHeard().
      if (Alive || Round != ProbeRound)
        return;
      ++RefusedProbes;
      if (--OpenProbes > 0)
        return;
      // The observers of this failure come first.
      Timers.afterReceived([this, Round](TimePoint Now) {
        if (Round != ProbeRound || Contact.state() != ContactState::Suspected)
          return;
        Contact.onProbesFailed(Now);
        onLost();
      });
    });
}

void ServerContactMonitor::onLost() {
  const TimePoint Now = LoopTimers::now();
  LostAt = Now;
  ++ProbeRound;
  CheckTimer.reset();
  logLoss(State.contactSample(Contact.heardAt(), Now), Now);
  Metrics.serversLost();
  for (const ServerRef &Server : State.listedServers())
    Backends.markOutOfReach(Server);
  if (OnLost)
    OnLost();
}

void ServerContactMonitor::logLoss(const ServerContactSample &Sample,
                                   TimePoint Now) const {
  const TimePoint HeardAt = Contact.heardAt();
  logEvent(LogLevel::Warning, "servers_lost",
           {{"listed", Sample.Listed},
            {"silent", Sample.Silent},
            {"probes_refused", RefusedProbes},
            {"probes_unanswered", OpenProbes},
            {"silence_ms", HeardAt == absl::InfinitePast()
                               ? -1
                               : absl::ToInt64Milliseconds(Now - HeardAt)},
            {"losses", Contact.losses()}});
}

void ServerContactMonitor::noteUnservable(const std::string &Route,
                                          TimePoint Now) {
  for (auto It = UnservableUntil.begin(); It != UnservableUntil.end();)
    It = Now < It->second ? std::next(It) : UnservableUntil.erase(It);
  UnservableUntil[Route] = Now + UnservableTime;
}

bool ServerContactMonitor::isUnservable(const std::string &Route,
                                        TimePoint Now) const {
  auto Found = UnservableUntil.find(Route);
  return Found != UnservableUntil.end() && Now < Found->second;
}

} // namespace quetzallead
