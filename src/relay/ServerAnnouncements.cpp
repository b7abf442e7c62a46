#include "relay/ServerAnnouncements.h"
#include "relay/BackendClient.h"
#include "relay/RelayMetrics.h"
#include "runtime/Logger.h"
#include <boost/asio/post.hpp>

namespace quetzallead {

namespace asio = boost::asio;

ServerAnnouncements::ServerAnnouncements(asio::io_context &GivenLoop,
                                         RelayState &GivenState,
                                         BackendClient &GivenBackends,
                                         RelayMetrics &GivenMetrics,
                                         const HeaderNames &GivenHeaders)
    : Loop(GivenLoop), State(GivenState), Backends(GivenBackends),
      Metrics(GivenMetrics), Headers(GivenHeaders) {}

void ServerAnnouncements::onHead(const ServerRef &Server,
                                 const HttpResponseHead &Head) {
  if (saysLeaving(Head, Headers))
    onLeaving(Server);
  const Duration Pause = requestedPause(Head);
  if (Pause != absl::ZeroDuration())
    onPause(Server, Pause);
  // A misdirected request has reached another server.
  if (Head.result() == boost::beast::http::status::misdirected_request)
    return;
  onLimit(Server, namedLimit(Head, Headers));
  if (Server->Warm.RatePerSecond > 0)
    if (const std::optional<Duration> Left = warmUpLeft(Head, Headers))
      onWarmUp(Server, *Left);
}

void ServerAnnouncements::grantPermitsLater() {
  asio::post(Loop, [this] { State.grantPermits(LoopTimers::now()); });
}

void ServerAnnouncements::onLeaving(const ServerRef &Server) {
  if (!State.markLeaving(Server))
    return;
  logEvent(LogLevel::Info, "server_leaving",
           {{"server", Server->Info.Id}, {"service", Server->Info.Service}});
  Metrics.serverLeaving();
  // Neither may run while the response is being parsed.
  asio::post(Loop, [this] {
    Backends.closeRemovedServers();
    State.grantPermits(LoopTimers::now());
  });
}

void ServerAnnouncements::onPause(const ServerRef &Server, Duration Time) {
  if (Time < absl::ZeroDuration()) {
    logEvent(LogLevel::Warning, "server_pause_unreadable",
             {{"server", Server->Info.Id}, {"service", Server->Info.Service}});
    return;
  }
  const TimePoint Now = LoopTimers::now();
  if (!State.pauseServer(Server, Time, Now))
    return;
  logEvent(LogLevel::Info, "server_paused",
           {{"server", Server->Info.Id},
            {"service", Server->Info.Service},
            {"pause_ms", absl::ToInt64Milliseconds(Time)}});
  Metrics.serverPaused();
  grantPermitsLater();
}

void ServerAnnouncements::onWarmUp(const ServerRef &Server, Duration Left) {
  // Permits may not be granted while the response is being parsed.
  asio::post(Loop, [this, Server, Left] {
    if (!State.noteWarmUp(Server, Left, LoopTimers::now()))
      return;
    logEvent(LogLevel::Info,
             Left > absl::ZeroDuration() ? "server_cold" : "server_warm",
             {{"server", Server->Info.Id},
              {"service", Server->Info.Service},
              {"cold_ms", absl::ToInt64Milliseconds(Left)},
              {"per_second", Server->Warm.RatePerSecond}});
  });
}

void ServerAnnouncements::onLimit(const ServerRef &Server,
                                  std::optional<double> PerSecond) {
  const PoolServer &S = *Server;
  if (PerSecond && *PerSecond < 0) {
    logEvent(LogLevel::Warning, "server_limit_unreadable",
             {{"server", S.Info.Id}, {"service", S.Info.Service}});
    return;
  }
  const TimePoint Now = LoopTimers::now();
  if (!State.limitServer(Server, PerSecond, Now))
    return;
  if (PerSecond) {
    const LimitShare Share =
        State.sharing().shareOf(S.Info.Id, *PerSecond, Now);
    logEvent(LogLevel::Info, "server_limited",
             {{"server", S.Info.Id},
              {"service", S.Info.Service},
              {"per_second", *PerSecond},
              {"share", Share.Fraction},
              {"sharers", Share.Sharers}});
    Metrics.serverLimited();
  } else {
    logEvent(LogLevel::Info, "server_limit_ended",
             {{"server", S.Info.Id}, {"service", S.Info.Service}});
  }
  grantPermitsLater();
}

} // namespace quetzallead
