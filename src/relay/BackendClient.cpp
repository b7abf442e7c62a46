#include "relay/BackendClient.h"
#include "runtime/Logger.h"
#include <algorithm>

namespace quetzallead {

/// A kept connection that the server ends within this is not used any more:
/// the request could cross the server's close.
static constexpr Duration KeepMargin = absl::Milliseconds(300);
/// An attempt without an answer for this long was sent to a server that is not
/// there; a shorter one may just have had little time. Servers pause for a
/// small part of it.
static constexpr Duration SilenceTime = absl::Milliseconds(400);
/// Wait before a server that cannot be reached is tried again, doubled each
/// time; a server that restarts is back within a second or two.
static constexpr Duration FirstReconnect = absl::Milliseconds(100);
static constexpr Duration LongestReconnect = absl::Seconds(1);

BackendClient::BackendClient(boost::asio::io_context &GivenLoop,
                             LoopTimers &GivenTimers)
    : Loop(GivenLoop), Timers(GivenTimers) {}

BackendClient::Link &BackendClient::link(const ServerRef &Server) {
  Link &L = Links[Server.get()];
  L.Server = Server;
  return L;
}

void BackendClient::count(Link &L) {
  L.Server->IdleConnections = static_cast<int>(
      std::count_if(L.Connections.begin(), L.Connections.end(),
                    [](const auto &C) { return C->ready() && !C->busy(); }));
}

void BackendClient::noteUnreachable(Link &L, absl::string_view Reason) {
  PoolServer &S = *L.Server;
  if (!S.Unreachable)
    logEvent(LogLevel::Warning, "server_unreachable",
             {{"server", S.Info.Id},
              {"service", S.Info.Service},
              {"zone", S.Info.Zone},
              {"reason", Reason},
              {"in_flight", S.inFlight()}});
  S.Unreachable = true;
}

void BackendClient::noteReachable(Link &L) {
  PoolServer &S = *L.Server;
  if (S.Unreachable)
    logEvent(LogLevel::Info, "server_reachable",
             {{"server", S.Info.Id}, {"service", S.Info.Service}});
  S.Unreachable = false;
}

std::shared_ptr<HttpConnection> BackendClient::open(Link &L) {
  auto C = std::make_shared<HttpConnection>(
      Loop, Timers, L.Server->Info.Address, HttpConnectionLimits());
  const PoolServer *Key = L.Server.get();
  const HttpConnection *Raw = C.get();
  C->OnReady = [this, Key] {
    auto Known = Links.find(Key);
    if (Known == Links.end())
      return;
    Known->second.ReconnectWait = absl::ZeroDuration();
    noteReachable(Known->second);
    count(Known->second);
  };
  C->OnClosed = [this, Key, Raw](bool WasConnected) {
    onClosed(Key, Raw, WasConnected);
  };
  L.Connections.push_back(C);
  return C;
}

std::shared_ptr<HttpConnection> BackendClient::takeIdle(Link &L,
                                                        TimePoint Now) {
  std::shared_ptr<HttpConnection> Best;
  std::vector<std::shared_ptr<HttpConnection>> Ending;
  for (const auto &C : L.Connections) {
    if (C->busy() || !C->open())
      continue;
    if (C->keptUntil() - KeepMargin <= Now) {
      Ending.push_back(C);
      continue;
    }
    // The one used last is the least likely to be closed by the server.
    if (Best == nullptr || (C->ready() && C->idleSince() > Best->idleSince()))
      Best = C;
  }
  for (const auto &C : Ending)
    C->close();
  return Best;
}

std::shared_ptr<HttpConnection> BackendClient::send(const ServerRef &Server,
                                                    HttpExchange Request,
                                                    HttpExchangeDone Done) {
  Link &L = link(Server);
  std::shared_ptr<HttpConnection> C = takeIdle(L, LoopTimers::now());
  if (C == nullptr)
    C = open(L);
  const PoolServer *Key = Server.get();
  const TimePoint Sent = LoopTimers::now();
  C->exchange(std::move(Request),
              [this, Key, Sent, Done = std::move(Done)](HttpExchangeEnd End) {
                onEnded(Key, End.Result, LoopTimers::now() - Sent);
                Done(std::move(End));
              });
  count(L);
  return C;
}

void BackendClient::onEnded(const PoolServer *Key, AttemptResult Result,
                            Duration Elapsed) {
  auto Known = Links.find(Key);
  if (Known == Links.end())
    return;
  Link &L = Known->second;
  const bool Silent =
      Result == AttemptResult::TimedOut && Elapsed >= SilenceTime;
  if (Result == AttemptResult::NotSent || Silent) {
    noteUnreachable(L, Silent ? "silent" : "not_sent");
    reconnectLater(L);
  } else if (Result == AttemptResult::Answered) {
    noteReachable(L);
    L.ReconnectWait = absl::ZeroDuration();
  }
  count(L);
}

void BackendClient::prepare(const ServerRef &Server) {
  Link &L = link(Server);
  if (L.Connections.empty())
    open(L)->connect();
}

void BackendClient::onClosed(const PoolServer *Key, const HttpConnection *Gone,
                             bool WasConnected) {
  auto Known = Links.find(Key);
  if (Known == Links.end())
    return;
  Link &L = Known->second;
  L.Connections.erase(
      std::remove_if(L.Connections.begin(), L.Connections.end(),
                     [Gone](const auto &C) { return C.get() == Gone; }),
      L.Connections.end());
  count(L);
  if (!L.Server->Present && L.Connections.empty()) {
    Links.erase(Known);
    return;
  }
  if (WasConnected)
    return;
  noteUnreachable(L, "no_connection");
  reconnectLater(L);
}

void BackendClient::reconnectLater(Link &L) {
  if (L.Reconnect != nullptr || !L.Server->Present)
    return;
  L.ReconnectWait =
      std::clamp(L.ReconnectWait * 2, FirstReconnect, LongestReconnect);
  const PoolServer *Key = L.Server.get();
  L.Reconnect =
      Timers.at(LoopTimers::now() + L.ReconnectWait, [this, Key](TimePoint) {
        auto Known = Links.find(Key);
        if (Known == Links.end())
          return;
        Link &Mine = Known->second;
        Mine.Reconnect.reset();
        if (!Mine.Server->Present || !Mine.Server->Unreachable)
          return;
        if (Mine.Connections.empty())
          open(Mine)->connect();
        else
          noteReachable(Mine);
      });
}

void BackendClient::dropGone() {
  std::vector<std::shared_ptr<HttpConnection>> Idle;
  std::vector<const PoolServer *> Empty;
  for (auto &[Key, L] : Links) {
    if (L.Server->Present)
      continue;
    for (const auto &C : L.Connections)
      if (!C->busy())
        Idle.push_back(C);
    if (L.Connections.empty())
      Empty.push_back(Key);
  }
  for (const PoolServer *Key : Empty)
    Links.erase(Key);
  for (const auto &C : Idle)
    C->close();
}

} // namespace quetzallead
