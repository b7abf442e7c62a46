#include "relay/RequestHandOver.h"
#include "relay/RelayMetrics.h"
#include "relay/ServerContactMonitor.h"
#include "runtime/Logger.h"

namespace quetzallead {

RequestHandOver::RequestHandOver(const RelayState &GivenState,
                                 ServerContactMonitor &GivenServers,
                                 RelayMetrics &GivenMetrics)
    : State(GivenState), Servers(GivenServers), Metrics(GivenMetrics) {}

HandOverQuestion RequestHandOver::question(const Route &Matched,
                                           const HandOverOrigin &Origin) const {
  const TimePoint Now = LoopTimers::now();
  HandOverQuestion Question;
  Question.FromInstance = Origin.FromInstance;
  // A suspicion is no reason to pass on what another instance passes on.
  Question.ServersLost =
      Origin.FromInstance ? Servers.lost() : Servers.avoidsServers();
  Question.OutOfReach = State.outOfReach(Matched);
  Question.HandedOver = Origin.HandedOver;
  Question.HomeAvailable = Origin.HasLinks && State.hasHomeWithServers(Now);
  Question.KnownUnservable = Servers.isUnservable(Matched.Name, Now);
  return Question;
}

bool RequestHandOver::beforeServing(const CallerRef &Caller,
                                    const ForwardedRequest &Call,
                                    const Route &Matched,
                                    const HandOverOrigin &Origin) {
  return perform(Caller, Call, Matched, question(Matched, Origin));
}

bool RequestHandOver::afterFailure(const CallerRef &Caller,
                                   const ForwardedRequest &Call,
                                   const RelayRequest &Failed,
                                   RelayOutcome Outcome,
                                   HandOverOrigin Origin) {
  const Route &Matched = *Failed.plan().MatchedRoute;
  const bool HasFailed = Outcome == RelayOutcome::Rejected ||
                         Outcome == RelayOutcome::Unservable ||
                         Outcome == RelayOutcome::Failed;
  if (!HasFailed || Matched.Target == RouteTarget::Home)
    return false;
  Origin.HandedOver = Failed.plan().HandedOver;
  HandOverQuestion Question = question(Matched, Origin);
  Question.ServersLost =
      Origin.FromInstance ? Servers.lost() : Servers.lostOrReturning();
  Question.OutOfReach = Failed.lacksServers();
  Question.Begun = Failed.begun();
  Question.MayBeRepeated = Failed.mayBeRepeated();
  return perform(Caller, Call, Matched, Question);
}

void RequestHandOver::onReturnedUnserved(const std::string &RouteName,
                                         TimePoint Now) {
  // While the servers are lost, the routes are not to blame.
  if (!Servers.avoidsServers())
    Servers.noteUnservable(RouteName, Now);
}

bool RequestHandOver::perform(const CallerRef &Caller,
                              const ForwardedRequest &Call,
                              const Route &Matched,
                              const HandOverQuestion &Question) {
  const HandOver Choice = chooseHandOver(Question);
  if (Choice == HandOver::None)
    return false;
  logEvent(LogLevel::Info, "request_handed_over",
           {{"request", Call.RequestId},
            {"route", Matched.Name},
            {"choice", nameOf(HandOverNames, Choice)},
            {"cause", Question.ServersLost ? "servers_lost" : "out_of_reach"},
            {"begun", Question.Begun}});
  switch (Choice) {
  case HandOver::PassBack:
    PassBack(Caller, Call);
    break;
  case HandOver::Abandon:
    Abandon(Caller, Call);
    break;
  case HandOver::ToHome:
    Metrics.requestHandedOver(Question.Begun);
    ForwardToHome(Caller, Call, Question.Begun);
    break;
  case HandOver::None:
    break;
  }
  return true;
}

} // namespace quetzallead
