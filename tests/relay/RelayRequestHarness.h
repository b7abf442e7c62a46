#ifndef QUETZALLEAD_TESTS_RELAY_RELAYREQUESTHARNESS_H
#define QUETZALLEAD_TESTS_RELAY_RELAYREQUESTHARNESS_H

#include "core/relay/RelayState.h"
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace quetzallead {

/// Test harness that drives one RelayRequest at a time against a RelayState
/// with one service per shard, and records the actions that the request emits.
class RelayRequestHarness {
public:
  explicit RelayRequestHarness(int Shards, int Replicas = 3) {
    Options.Zone = "a";
    Options.ExtraLoad.Share = 0.2;
    Options.ExtraLoad.Base = 1000;
    Options.AssumedInstances = 1;
    Sheet.Version = 1;
    RequestRoute.Name = "r";
    RequestRoute.Host = "h";
    RequestRoute.Prefix = "/";
    RequestRoute.Target =
        Shards > 1 ? RouteTarget::Survey : RouteTarget::Single;
    RequestRoute.MaxAttempts = 2;
    RequestRoute.Timeout = absl::Seconds(1);
    RequestRoute.MinCoverage = 0.75;
    RequestRoute.MaxRecords = 2;
    for (int Shard = 0; Shard < Shards; ++Shard) {
      const std::string Service = "s" + std::to_string(Shard);
      RequestRoute.Services.push_back(RouteService{Service, 1});
      Sheet.Services[Service].ConnectionLimit = 20;
      for (int Replica = 0; Replica < Replicas; ++Replica) {
        DiscoveredServer S;
        S.Id = Service + "-" + std::to_string(Replica);
        S.Service = Service;
        S.Address = "127.0.0.1:1";
        S.Zone = std::string(1, static_cast<char>('a' + Replica));
        S.Slots = 2;
        Servers.push_back(FeedChange{S.Id, S});
      }
    }
    makeState();
  }

  /// Starts over with the region of each zone.
  void setZoneRegions(const std::map<std::string, std::string> &Regions) {
    Options.ZoneRegions = Regions;
    makeState();
  }

  void startRequest() {
    Sheet.Routes = {RequestRoute};
    State->updateSheet(Sheet, Now);
    const Route &R = State->table()->sheet().Routes[0];
    startRequest(State->plan(R, Now, absl::Seconds(1), TransitTime));
  }

  void startRequest(RelayPlan Plan) {
    Request = std::make_unique<RelayRequest>(std::move(Plan));
    Request->OnDequeued = [this](const RelayActions &Actions) {
      recordActions(Actions);
    };
    step([this](RelayActions &Out) { Request->start(Now, Out); });
  }

  /// Advances the clock by \p Time and fires the timers that fall due.
  void advance(Duration Time) {
    const TimePoint End = Now + Time;
    while (std::min(Request->nextTimer(), PermitsDue) <= End) {
      if (PermitsDue < Request->nextTimer()) {
        Now = std::max(Now, PermitsDue);
        PermitsDue = absl::InfiniteFuture();
        State->grantPermits(Now);
        continue;
      }
      Now = std::max(Now, Request->nextTimer());
      step([this](RelayActions &Out) { Request->onTimer(Now, Out); });
    }
    Now = End;
  }

  void endAttempt(std::size_t Attempt, AttemptResult Result,
                  unsigned Status = 200) {
    AttemptEnd End;
    End.Result = Result;
    if (Result == AttemptResult::Answered) {
      End.Response = std::make_shared<BackendResponse>();
      End.Response->Status = Status;
      End.Response->Stamp = "stamp" + std::to_string(Attempt);
    }
    step([&](RelayActions &Out) {
      Request->onAttemptEnd(Attempt, End, Now, Out);
    });
  }

  /// The home of attempt \p Attempt has read the request.
  void acknowledge(std::size_t Attempt) { Request->onAcknowledged(Attempt); }
  /// The home of attempt \p Attempt claims the attempts that are held back.
  void claim(std::size_t Attempt) {
    step([&](RelayActions &Out) { Request->onClaimed(Attempt, Out); });
  }
  /// The asking instance grants what was claimed.
  void grant() {
    step([this](RelayActions &Out) { Request->onGranted(Now, Out); });
  }

  bool answered() const { return Verdict.has_value(); }
  const ServerRef &serverOf(std::size_t Attempt) const {
    return Request->serverOf(Attempt);
  }

  /// Time that requests and responses are in transit to and from the caller.
  Duration TransitTime = absl::Milliseconds(4);
  TimePoint Now = absl::UnixEpoch() + absl::Hours(1);
  RouteSheet Sheet;
  Route RequestRoute;
  std::unique_ptr<RelayState> State;
  /// When the state wants permits to be granted.
  TimePoint PermitsDue = absl::InfiniteFuture();
  std::unique_ptr<RelayRequest> Request;
  /// Server IDs of the attempts sent, in order.
  std::vector<std::string> SentServers;
  std::vector<std::size_t> Cancelled;
  /// Attempts whose homes were granted what they claimed.
  std::vector<std::size_t> Granted;
  int Claims = 0;
  std::optional<RelayResult> Verdict;

private:
  void makeState() {
    State = std::make_unique<RelayState>(Options);
    State->OnPermitDue = [this](TimePoint Due) {
      PermitsDue = std::min(PermitsDue, Due);
    };
    State->applyFeedChanges(Servers, Now);
  }

  template <typename Fn> void step(Fn Deliver) {
    RelayActions Out;
    Deliver(Out);
    recordActions(Out);
  }

  void recordActions(const RelayActions &Actions) {
    for (const RelayAction &Action : Actions) {
      if (auto *Send = std::get_if<SendRelayAttempt>(&Action))
        SentServers.push_back(Send->Server->Info.Id);
      else if (auto *Cancel = std::get_if<CancelRelayAttempt>(&Action))
        Cancelled.push_back(Cancel->Attempt);
      else if (auto *Grant = std::get_if<GrantAttempts>(&Action))
        Granted.push_back(Grant->Attempt);
      else if (std::holds_alternative<ClaimAttempts>(Action))
        ++Claims;
      else
        Verdict = std::get<RespondToCaller>(Action).Result;
    }
  }

  RelayStateOptions Options;
  std::vector<FeedChange> Servers;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_RELAY_RELAYREQUESTHARNESS_H
