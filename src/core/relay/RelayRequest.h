#ifndef QUETZALLEAD_CORE_RELAY_RELAYREQUEST_H
#define QUETZALLEAD_CORE_RELAY_RELAYREQUEST_H

#include "core/relay/BackendPool.h"
#include "core/relay/ExtraLoadBudget.h"
#include "core/relay/HedgeObstacle.h"
#include "core/relay/RelayActions.h"
#include "core/relay/Route.h"
#include "core/relay/RouteStats.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzallead {

/// One service that a request needs, with what is shared by all requests.
struct RelayTarget {
  std::string Service;
  std::shared_ptr<BackendPool> Pool;
  std::shared_ptr<ExtraLoadBudget> Budget;
};

/// What a RelayRequest decides by.
struct RelayPlan {
  /// Outlives the request.
  const Route *Taken = nullptr;
  /// One target, or one per shard of a survey.
  std::vector<RelayTarget> Targets;
  std::shared_ptr<RouteStats> Stats;
  /// Instances that share the budgets.
  int Instances = 1;
  TimePoint Arrived;
  /// When the answer should leave so that it reaches the caller within the
  /// route's objective.
  TimePoint AnswerBy;
  /// When the last answer should leave.
  TimePoint Deadline;
  /// When the caller has no use for an answer any more.
  TimePoint CallerGone = absl::InfiniteFuture();
};

/// One request of a caller on its way to backend servers: which server gets
/// which attempt, when a second one is sent, and when the caller is answered
/// with what.
///
/// Load patterns it answers: servers that pause, slow or broken replicas
/// (hedges and retries out of a shared budget), shards that are down (a survey
/// is answered at the objective with what is there, and ended at once when too
/// much is missing). Events go in, actions come out; not thread-safe.
class RelayRequest {
public:
  explicit RelayRequest(RelayPlan Plan);
  ~RelayRequest();
  RelayRequest(const RelayRequest &) = delete;
  RelayRequest &operator=(const RelayRequest &) = delete;

  /// Called when a queued attempt gets its place, with the actions that
  /// follow; set before start().
  std::function<void(RelayActions)> OnPlaced;

  void start(TimePoint Now, RelayActions &Out);
  void onEnd(std::size_t Attempt, const AttemptEnd &End, TimePoint Now,
             RelayActions &Out);
  void onTimer(TimePoint Now, RelayActions &Out);
  /// The caller has gone: everything in flight is cancelled.
  void onCallerLeft(TimePoint Now, RelayActions &Out);

  /// When onTimer() is due; infinite once nothing waits.
  TimePoint nextTimer() const { return NextTimer; }
  bool answered() const { return Answered; }
  const RelayPlan &plan() const { return Plan; }
  const ServerRef &serverOf(std::size_t Id) const {
    return Attempts[Id].Server;
  }
  const std::shared_ptr<BackendPool> &poolOf(std::size_t Id) const {
    return Plan.Targets[Attempts[Id].Part].Pool;
  }
  const std::string &serviceOf(std::size_t Id) const {
    return Plan.Targets[Attempts[Id].Part].Service;
  }
  AttemptCause causeOf(std::size_t Id) const { return Attempts[Id].Cause; }
  TimePoint sentAt(std::size_t Id) const { return Attempts[Id].Sent; }
  /// Parts whose last hedge that was due was not sent for \p Obstacle.
  std::size_t partsWithheld(HedgeObstacle Obstacle) const;
  /// The parts without an answer, for the log: of each its service, the
  /// servers that were asked with the milliseconds after the arrival, and what
  /// kept back a hedge.
  std::string describeMissing() const { return describe(true); }
  /// The same of all parts.
  std::string describeParts() const { return describe(false); }

private:
  enum class PartState { Open, Answered, GivenUp };
  struct Part {
    PartState State = PartState::Open;
    int Sent = 0;
    int Live = 0;
    std::uint64_t WaitId = 0;
    std::vector<ServerRef> Tried;
    TimePoint HedgeAt = absl::InfiniteFuture();
    TimePoint RetryAt = absl::InfiniteFuture();
    /// Why the hedge that is due waits.
    HedgeObstacle Obstacle = HedgeObstacle::None;
    /// The last whole answer that is no success.
    std::shared_ptr<BackendAnswer> Failure;
    std::shared_ptr<BackendAnswer> Answer;
  };
  struct Attempt {
    std::size_t Part = 0;
    ServerRef Server;
    TimePoint Sent;
    AttemptCause Cause = AttemptCause::First;
    bool Live = true;
    /// Its server did not run it, and never will.
    bool Unrun = false;
  };

  PlaceRequest placeRequest(const Part &P) const;
  std::string describe(bool OnlyMissing) const;
  void place(std::size_t Index, AttemptCause Cause, TimePoint Now,
             RelayActions &Out);
  void send(std::size_t Index, ServerRef Server, AttemptCause Cause,
            TimePoint Now, RelayActions &Out);
  void hedge(std::size_t Index, TimePoint Now, RelayActions &Out);
  void retry(std::size_t Index, TimePoint Now, RelayActions &Out);
  void retryOrGiveUp(std::size_t Index, TimePoint Now);
  void giveUp(std::size_t Index);
  bool accept(std::size_t Index, const AttemptEnd &End);
  void leaveQueue(std::size_t Index);
  void checkEnd(TimePoint Now, RelayActions &Out);
  void finish(RelayVerdict Verdict, RelayActions &Out);
  RelayVerdict failure(TimePoint Now) const;
  /// A refusal that tells the caller when \p Target will have room, behind
  /// \p Wait.
  RelayVerdict refusal(const RelayTarget &Target, Duration Wait,
                       TimePoint Now) const;
  RelayVerdict merged() const;
  /// An attempt was sent that is not known not to have run.
  bool mayHaveRun() const;
  std::size_t neededParts() const;
  void rearm();
  bool repeatable() const {
    return Plan.Taken->Kind == RequestKind::Idempotent;
  }
  bool survey() const { return Plan.Taken->Target == RouteTarget::Survey; }

  RelayPlan Plan;
  std::vector<Part> Parts;
  std::vector<Attempt> Attempts;
  std::size_t AnsweredParts = 0;
  std::size_t GivenUpParts = 0;
  bool Answered = false;
  TimePoint NextTimer = absl::InfiniteFuture();
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_RELAYREQUEST_H
