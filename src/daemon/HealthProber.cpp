#include "daemon/HealthProber.h"
#include "daemon/ClusterDirectory.h"
#include "daemon/FleetService.h"
#include "runtime/Logger.h"
#include "transport/http/HttpClient.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

static constexpr Duration ProbePeriod = absl::Seconds(1);
static constexpr Duration ProbeTimeout = absl::Milliseconds(500);
/// Instances of each zone that probe one server.
static constexpr std::size_t ProbersPerZone = 1;

HealthProber::HealthProber(ClusterDirectory &Dir, HttpClient &ClientPart,
                           TimerService &TimerPart)
    : Directory(Dir), Client(ClientPart), Timers(TimerPart) {}

void HealthProber::start(FleetService &FleetPart) {
  Fleet = &FleetPart;
  Ticker = Timers.every(ProbePeriod, [this](TimePoint) { probeAll(); });
}

void HealthProber::stop() { Ticker.reset(); }

void HealthProber::probeAll() {
  for (const auto &[Name, Service] : Directory.view()->Services)
    for (const auto &Set : Service->Shards)
      for (std::size_t R = 0; R < Set->size(); ++R) {
        ServerBelief Belief = Set->belief(R);
        if (Belief.NeedsProbe && !Set->removed(R))
          probeReachable(Set, R);
        LeavingCause Cause = Belief.Leaving;
        bool MayReturn =
            Cause == LeavingCause::DrainReply || Cause == LeavingCause::Peer;
        if (!MayReturn || Set->removed(R))
          continue;
        BackendServerSpec Spec = Set->spec(R);
        std::optional<std::size_t> Rank = Fleet->rankOf("probe:" + Spec.Name);
        if (Rank && *Rank < ProbersPerZone)
          probe(Spec.Name, Spec.Address);
      }
}

void HealthProber::probeReachable(const std::shared_ptr<ReplicaSet> &Set,
                                  std::size_t Replica) {
  HttpCall Call;
  Call.Address = Set->spec(Replica).Address;
  Call.Target = "/health";
  Call.Timeout = ProbeTimeout;
  Client.start(std::move(Call), [this, Set, Replica](const HttpOutcome &Got) {
    if (Got.Failure == TransferFailure::None)
      Set->noteReachable(Replica, Timers.now());
    else if (Got.Failure == TransferFailure::NotSent)
      Set->noteUnreachable(Replica, Timers.now());
  });
}

void HealthProber::probe(const std::string &Server,
                         const std::string &Address) {
  HttpCall Call;
  Call.Address = Address;
  Call.Target = "/health";
  Call.Timeout = ProbeTimeout;
  Client.start(std::move(Call),
               [=](const HttpOutcome &Outcome) { onHealth(Server, Outcome); });
}

void HealthProber::onHealth(const std::string &Server,
                            const HttpOutcome &Outcome) {
  if (Outcome.Failure != TransferFailure::None)
    return;
  auto Body = nlohmann::json::parse(Outcome.Response.Body, nullptr, false);
  bool Ok =
      Body.is_object() && Body.contains("status") && Body["status"] == "ok";
  if (!Ok || !Directory.noteHealthy(Server, Timers.now()))
    return;
  logEvent(LogLevel::Info, "server_back", {{"server", Server}});
  Fleet->noticeServer(Server, ServerNoticeState::Back);
}

} // namespace quetzallead
