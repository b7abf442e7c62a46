#ifndef QUETZALLEAD_TESTS_RELAY_RELAYWORLD_H
#define QUETZALLEAD_TESTS_RELAY_RELAYWORLD_H

#include "core/relay/RelayState.h"
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace quetzallead {

/// A RelayState with one shard per service, and steps to drive one request by
/// hand: what was sent, and what the caller got.
class RelayWorld {
public:
  explicit RelayWorld(int Shards, int Replicas = 3) {
    RelayStateOptions Options;
    Options.Zone = "a";
    Options.ExtraLoad.Share = 0.2;
    Options.ExtraLoad.Base = 1000;
    Options.AssumedInstances = 1;
    State = std::make_unique<RelayState>(Options);
    std::vector<FeedChange> Servers;
    Sheet.Version = 1;
    Taken.Name = "r";
    Taken.Host = "h";
    Taken.Prefix = "/";
    Taken.Target = Shards > 1 ? RouteTarget::Survey : RouteTarget::Single;
    Taken.MaxAttempts = 2;
    Taken.Timeout = absl::Seconds(1);
    Taken.LeastCoverage = 0.75;
    Taken.RecordsWanted = 2;
    for (int Shard = 0; Shard < Shards; ++Shard) {
      const std::string Service = "s" + std::to_string(Shard);
      Taken.Services.push_back(RouteService{Service, 1});
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
    State->apply(Servers, Now);
  }

  void begin() {
    Sheet.Routes = {Taken};
    State->adopt(Sheet, Now);
    const Route &R = State->table()->sheet().Routes[0];
    Request =
        std::make_unique<RelayRequest>(State->plan(R, Now, absl::Seconds(1)));
    Request->OnPlaced = [this](const RelayActions &Actions) { note(Actions); };
    step([this](RelayActions &Out) { Request->start(Now, Out); });
  }

  /// Lets time pass, with the timers that come due on the way.
  void wait(Duration Time) {
    const TimePoint End = Now + Time;
    while (Request->nextTimer() <= End) {
      Now = std::max(Now, Request->nextTimer());
      step([this](RelayActions &Out) { Request->onTimer(Now, Out); });
    }
    Now = End;
  }

  void end(std::size_t Attempt, AttemptResult Result, unsigned Status = 200) {
    AttemptEnd End;
    End.Result = Result;
    if (Result == AttemptResult::Answered) {
      End.Answer = std::make_shared<BackendAnswer>();
      End.Answer->Status = Status;
      End.Answer->Stamp = "stamp" + std::to_string(Attempt);
    }
    step([&](RelayActions &Out) { Request->onEnd(Attempt, End, Now, Out); });
  }

  bool answered() const { return Verdict.has_value(); }
  const ServerRef &serverOf(std::size_t Attempt) const {
    return Request->serverOf(Attempt);
  }

  TimePoint Now = absl::UnixEpoch() + absl::Hours(1);
  RouteSheet Sheet;
  Route Taken;
  std::unique_ptr<RelayState> State;
  std::unique_ptr<RelayRequest> Request;
  /// Servers of the attempts that were sent, in order.
  std::vector<std::string> Sent;
  std::vector<std::size_t> Cancelled;
  std::optional<RelayVerdict> Verdict;

private:
  template <typename Fn> void step(Fn Feed) {
    RelayActions Out;
    Feed(Out);
    note(Out);
  }

  void note(const RelayActions &Actions) {
    for (const RelayAction &Action : Actions) {
      if (auto *Send = std::get_if<SendRelayAttempt>(&Action))
        Sent.push_back(Send->Server->Info.Id);
      else if (auto *Cancel = std::get_if<CancelRelayAttempt>(&Action))
        Cancelled.push_back(Cancel->Attempt);
      else
        Verdict = std::get<AnswerCaller>(Action).Verdict;
    }
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_RELAY_RELAYWORLD_H
