#include "relay/BackendClient.h"
#include "relay/LinkMessages.h"
#include "relay/MemoryGuard.h"
#include "runtime/Logger.h"
#include <algorithm>

namespace quetzallead {

/// An idle connection that the server closes within this time is not reused:
/// the request could cross the close on the wire.
static constexpr Duration IdleExpiryMargin = absl::Milliseconds(300);
/// A timed-out attempt marks its server unreachable only if it lasted at least
/// this long; a shorter attempt may just have had little time left. Healthy
/// servers pause for a small fraction of this time.
static constexpr Duration UnresponsiveTimeout = absl::Milliseconds(400);
/// Time limit for establishing a connection to another instance: a request that
/// waits for it can go to the next home, or be rejected.
static constexpr Duration InstanceConnectTimeout = absl::Milliseconds(200);
/// Range of the delay before reconnecting to an unreachable server, doubled
/// after each failure. A restarting server is back within a second or two.
static constexpr Duration MinReconnectDelay = absl::Milliseconds(100);
static constexpr Duration MaxReconnectDelay = absl::Seconds(1);
/// Largest share of the delay that is random, so that the servers of an
/// instance that has lost all of them are not reconnected to at once.
static constexpr double ReconnectJitter = 0.25;

BackendClient::BackendClient(boost::asio::io_context &GivenLoop,
                             LoopTimers &GivenTimers, MemoryGuard *GivenMemory)
    : Loop(GivenLoop), Timers(GivenTimers), Memory(GivenMemory) {}

BackendClient::ServerEntry &BackendClient::entryFor(const ServerRef &Server) {
  ServerEntry &Entry = Entries[Server.get()];
  Entry.Server = Server;
  return Entry;
}

void BackendClient::updateIdleCount(ServerEntry &Entry) {
  Entry.Server->IdleConnections = static_cast<int>(
      std::count_if(Entry.Connections.begin(), Entry.Connections.end(),
                    [](const auto &C) { return C->ready() && !C->busy(); }));
}

void BackendClient::markUnreachable(ServerEntry &Entry,
                                    absl::string_view Reason) {
  PoolServer &S = *Entry.Server;
  if (!S.Unreachable)
    logEvent(LogLevel::Warning, "server_unreachable",
             {{"server", S.Info.Id},
              {"service", S.Info.Service},
              {"zone", S.Info.Zone},
              {"reason", Reason},
              {"in_flight", S.inFlight()}});
  if (S.Unreachable)
    return;
  S.Unreachable = true;
  S.UnreachableSince = LoopTimers::now();
  if (!S.Info.IsInstance && Observer.OnUnreachable)
    Observer.OnUnreachable();
}

void BackendClient::onHeard(const ServerEntry &Entry) {
  if (!Entry.Server->Info.IsInstance && Observer.OnHeard)
    Observer.OnHeard();
}

void BackendClient::markReachable(ServerEntry &Entry) {
  PoolServer &S = *Entry.Server;
  if (S.Unreachable)
    logEvent(LogLevel::Info, "server_reachable",
             {{"server", S.Info.Id}, {"service", S.Info.Service}});
  if (S.Unreachable && S.Warm.RatePerSecond > 0)
    noteMayBeCold(S.Warm, LoopTimers::now());
  S.Unreachable = false;
  S.OutOfReach = false;
}

void BackendClient::closeOlderConnections(ServerEntry &Entry,
                                          const HttpConnection *New) {
  std::vector<std::shared_ptr<HttpConnection>> Idle;
  for (const auto &C : Entry.Connections)
    if (C->ready() && !C->busy() && C.get() != New)
      Idle.push_back(C);
  for (const auto &C : Idle)
    C->close();
}

void BackendClient::markOutOfReach(const ServerRef &Server) {
  ServerEntry &Entry = entryFor(Server);
  // One log line tells of all servers that are marked together.
  BackendPool::markLost(Server, LoopTimers::now());
  scheduleReconnect(Entry);
}

std::shared_ptr<HttpConnection>
BackendClient::openConnection(ServerEntry &Entry) {
  HttpConnectionLimits Limits;
  if (Entry.Server->Info.IsInstance) {
    Limits.ConnectTimeout = InstanceConnectTimeout;
    Limits.HeaderBytes += LinkHeadRoom;
  }
  Limits.Memory = Memory;
  if (Memory != nullptr)
    Limits.BodyBytes =
        std::min<std::uint64_t>(Limits.BodyBytes, Memory->messageLimit());
  auto C = std::make_shared<HttpConnection>(Loop, Timers,
                                            Entry.Server->Info.Address, Limits);
  const PoolServer *Key = Entry.Server.get();
  const HttpConnection *Raw = C.get();
  C->OnReady = [this, Key, Raw] {
    auto It = Entries.find(Key);
    if (It == Entries.end())
      return;
    It->second.ReconnectDelay = absl::ZeroDuration();
    if (It->second.Server->Unreachable)
      closeOlderConnections(It->second, Raw);
    markReachable(It->second);
    updateIdleCount(It->second);
    onHeard(It->second);
    finishAliveChecks(It->second, true);
  };
  C->OnClosed = [this, Key, Raw](ConnectionEnd End) {
    onClosed(Key, Raw, End);
  };
  Entry.Connections.push_back(C);
  return C;
}

std::shared_ptr<HttpConnection>
BackendClient::selectConnection(ServerEntry &Entry, TimePoint Now) {
  std::shared_ptr<HttpConnection> Selected;
  std::vector<std::shared_ptr<HttpConnection>> Expiring;
  for (const auto &C : Entry.Connections) {
    if (C->busy() || !C->open())
      continue;
    if (C->idleExpiry() - IdleExpiryMargin <= Now) {
      Expiring.push_back(C);
      continue;
    }
    // The most recently used connection is the least likely to be closed by
    // the server.
    if (Selected == nullptr ||
        (C->ready() && C->idleSince() > Selected->idleSince()))
      Selected = C;
  }
  for (const auto &C : Expiring)
    C->close();
  return Selected;
}

std::shared_ptr<HttpConnection> BackendClient::send(const ServerRef &Server,
                                                    HttpExchange Request,
                                                    HttpExchangeCallback Done) {
  ServerEntry &Entry = entryFor(Server);
  std::shared_ptr<HttpConnection> C =
      selectConnection(Entry, LoopTimers::now());
  if (C == nullptr)
    C = openConnection(Entry);
  const PoolServer *Key = Server.get();
  const TimePoint SentAt = LoopTimers::now();
  if (!Server->Info.IsInstance && Observer.OnSent)
    Observer.OnSent();
  Request.LatestStart = Server->Info.MayEndAt;
  C->exchange(std::move(Request), [this, Key, SentAt, Done = std::move(Done)](
                                      HttpExchangeResult End) {
    onExchangeEnd(Key, End, LoopTimers::now() - SentAt);
    Done(std::move(End));
  });
  updateIdleCount(Entry);
  return C;
}

void BackendClient::onExchangeEnd(const PoolServer *Key,
                                  const HttpExchangeResult &End,
                                  Duration Elapsed) {
  auto It = Entries.find(Key);
  if (It == Entries.end())
    return;
  ServerEntry &Entry = It->second;
  const AttemptResult Result = End.Result;
  if (Result == AttemptResult::BadReply && Observer.OnRefused)
    Observer.OnRefused(*Entry.Server, End.Defect);
  const bool Unresponsive =
      Result == AttemptResult::TimedOut && Elapsed >= UnresponsiveTimeout;
  if (Result == AttemptResult::NotSent || Unresponsive) {
    markUnreachable(Entry, Unresponsive ? "silent" : "not_sent");
    scheduleReconnect(Entry);
  } else if (Result == AttemptResult::Answered) {
    markReachable(Entry);
    Entry.ReconnectDelay = absl::ZeroDuration();
  }
  updateIdleCount(Entry);
  if (Result == AttemptResult::Answered || Result == AttemptResult::BadReply)
    onHeard(Entry);
}

void BackendClient::preconnect(const ServerRef &Server) {
  ServerEntry &Entry = entryFor(Server);
  if (Entry.Connections.empty())
    openConnection(Entry)->connect();
}

void BackendClient::checkAlive(const ServerRef &Server,
                               std::function<void(bool)> Done) {
  ServerEntry &Entry = entryFor(Server);
  Entry.AliveChecks.push_back(std::move(Done));
  if (Entry.AliveChecks.size() == 1)
    openConnection(Entry)->connect();
}

void BackendClient::finishAliveChecks(ServerEntry &Entry, bool Alive) {
  std::vector<std::function<void(bool)>> Checks;
  Checks.swap(Entry.AliveChecks);
  for (const auto &Done : Checks)
    Done(Alive);
}

void BackendClient::onClosed(const PoolServer *Key,
                             const HttpConnection *Closed, ConnectionEnd End) {
  auto It = Entries.find(Key);
  if (It == Entries.end())
    return;
  ServerEntry &Entry = It->second;
  Entry.Connections.erase(
      std::remove_if(Entry.Connections.begin(), Entry.Connections.end(),
                     [Closed](const auto &C) { return C.get() == Closed; }),
      Entry.Connections.end());
  updateIdleCount(Entry);
  if (!Entry.Server->AcceptsAttempts && Entry.Connections.empty()) {
    Entries.erase(It);
    return;
  }
  if (End == ConnectionEnd::Closed)
    return;
  if (End == ConnectionEnd::NotEstablished)
    Entry.Server->OutOfReach = true;
  markUnreachable(Entry, End == ConnectionEnd::NotEstablished
                             ? "no_connection"
                             : "silent_connection");
  scheduleReconnect(Entry);
  if (End == ConnectionEnd::NotEstablished)
    finishAliveChecks(Entry, false);
}

void BackendClient::scheduleReconnect(ServerEntry &Entry) {
  if (Entry.ReconnectTimer != nullptr || !Entry.Server->AcceptsAttempts)
    return;
  Entry.ReconnectDelay = std::clamp(Entry.ReconnectDelay * 2, MinReconnectDelay,
                                    MaxReconnectDelay);
  const PoolServer *Key = Entry.Server.get();
  const double Jitter =
      ReconnectJitter * static_cast<double>(Engine()) / 4294967296.0;
  Entry.ReconnectTimer = Timers.at(
      LoopTimers::now() + Entry.ReconnectDelay * (1 - Jitter),
      [this, Key](TimePoint) {
        auto It = Entries.find(Key);
        if (It == Entries.end())
          return;
        ServerEntry &Current = It->second;
        Current.ReconnectTimer.reset();
        if (!Current.Server->AcceptsAttempts || !Current.Server->Unreachable)
          return;
        // Connections that are open tell nothing: they may be silent.
        const bool Connecting =
            std::any_of(Current.Connections.begin(), Current.Connections.end(),
                        [](const auto &C) { return C->open() && !C->ready(); });
        if (Connecting)
          scheduleReconnect(Current);
        else
          openConnection(Current)->connect();
      });
}

void BackendClient::closeRemovedServers() {
  std::vector<std::shared_ptr<HttpConnection>> Idle;
  std::vector<const PoolServer *> Empty;
  for (auto &[Key, Entry] : Entries) {
    if (Entry.Server->AcceptsAttempts)
      continue;
    for (const auto &C : Entry.Connections)
      if (!C->busy())
        Idle.push_back(C);
    if (Entry.Connections.empty())
      Empty.push_back(Key);
  }
  for (const PoolServer *Key : Empty)
    Entries.erase(Key);
  for (const auto &C : Idle)
    C->close();
}

} // namespace quetzallead
