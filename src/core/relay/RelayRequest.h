#ifndef QUETZALLEAD_CORE_RELAY_RELAYREQUEST_H
#define QUETZALLEAD_CORE_RELAY_RELAYREQUEST_H

#include "core/relay/AdmissionPolicy.h"
#include "core/relay/AllowedZones.h"
#include "core/relay/BackendPool.h"
#include "core/relay/ClaimDelay.h"
#include "core/relay/ExtraLoadBudget.h"
#include "core/relay/HedgeWithheldReason.h"
#include "core/relay/RelayActions.h"
#include "core/relay/Route.h"
#include "core/relay/RouteStats.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzallead {

/// One service that a request needs, with the state shared by all requests to
/// it.
struct RelayTarget {
  std::string Service;
  std::shared_ptr<BackendPool> Pool;
  std::shared_ptr<ExtraLoadBudget> Budget;
};

/// Inputs to the decisions of a RelayRequest.
struct RelayPlan {
  /// The matched route. Must outlive the request.
  const Route *MatchedRoute = nullptr;
  /// Owns MatchedRoute if no sheet does.
  std::shared_ptr<const Route> OwnedRoute;
  /// One target, or one per shard of a survey.
  std::vector<RelayTarget> Targets;
  std::shared_ptr<RouteStats> Stats;
  /// Priority and name of the client account; empty if there is none.
  int AccountPriority = 0;
  std::string Account;
  /// Zones whose servers or homes may get the request.
  AllowedZones Zones;
  /// Number of instances that share the backend servers.
  int Instances = 1;
  /// Number of instances that share the base of the extra load.
  int BudgetSharers = 1;
  TimePoint ArrivalTime;
  /// When the response should be sent so that it reaches the caller within the
  /// route's objective.
  TimePoint ObjectiveDeadline;
  /// Latest time at which a response may be sent.
  TimePoint Deadline;
  /// When the caller's timeout expires.
  TimePoint CallerDeadline = absl::InfiniteFuture();
  /// Another home may already have sent the request to backend servers: each
  /// attempt is an extra one, and each part gets one at most.
  bool Repeated = false;
  /// Another instance has found that the request must not be repeated, whatever
  /// MatchedRoute says: it has a newer sheet.
  bool RunsOnce = false;
  /// Number of attempts for each part that the asking instance divides between
  /// homes; 0 if no instance asks or it does not say.
  int AskersLimit = 0;
  /// Another instance could not serve the request: it is not handed over again.
  bool HandedOver = false;
  /// The asking instance holds back the last attempt of each part, for another
  /// home, until this one claims them.
  bool LastAttemptHeldBack = false;
  /// Must be set if LastAttemptHeldBack is.
  std::shared_ptr<ClaimDelay> Claims;
};

/// State machine of one caller request: decides which server receives each
/// attempt, when hedges and retries are sent, and when and how the caller is
/// answered.
///
/// Servers that pause and replicas that are slow or broken are covered by
/// hedges and retries, which are paid for from a shared budget. If shards are
/// down, a survey is answered at the objective with the parts that have
/// arrived, and ends at once when its least coverage can no longer be reached.
///
/// A route's maximum number of attempts holds over all homes that have the
/// request, whatever becomes of their messages: an asking instance holds back
/// the last attempt of each part. A second home gets these, or the first, which
/// claims them when it is about to need one; once they are granted, no other
/// home gets the request.
///
/// Instances may have different sheets, and the sheet may change while a
/// request is served. A request that may have been executed is sent again only
/// if every route that it has matched so far permits it, at each instance that
/// has sent it to a server. A home passes back a request that its own route
/// does not let a second home have; requests are repeated only among homes that
/// do so.
///
/// Takes events and returns actions, and does no I/O. Not thread-safe.
class RelayRequest {
public:
  explicit RelayRequest(RelayPlan Plan);
  ~RelayRequest();
  RelayRequest(const RelayRequest &) = delete;
  RelayRequest &operator=(const RelayRequest &) = delete;

  /// Called with the resulting actions when a queued attempt is granted a slot
  /// or dropped from the queue. Must be set before start().
  std::function<void(RelayActions)> OnDequeued;
  /// Whether the request must not be sent to another server; may be empty.
  std::function<bool()> IsBlocked;
  /// Whether a server has ended under a request of the same content; may be
  /// empty.
  std::function<bool()> IsSuspected;
  /// Returns the route that the request matches by now, if the sheet has
  /// changed since it was planned, or null; may be empty.
  std::function<const Route *()> CurrentRoute;

  void start(TimePoint Now, RelayActions &Out);
  void onAttemptEnd(std::size_t Attempt, const AttemptEnd &End, TimePoint Now,
                    RelayActions &Out);
  /// Handles the message of a home that it has read the request of attempt
  /// \p Id. A home that does not send it soon counts as silent.
  void onAcknowledged(std::size_t Id);
  /// Handles the claim of the home of attempt \p Id to the attempts that are
  /// held back.
  void onClaimed(std::size_t Id, RelayActions &Out);
  /// Handles the grant of the attempts that were claimed.
  void onGranted(TimePoint Now, RelayActions &Out);
  void onTimer(TimePoint Now, RelayActions &Out);
  /// Handles the loss of all backend servers: ends the request with what it
  /// has, unless it may neither be repeated nor is known not to have been
  /// executed.
  void onServersLost(TimePoint Now, RelayActions &Out);
  /// Ends the request with what it has, since this instance is about to end.
  void onStopping(TimePoint Now, RelayActions &Out);
  /// Handles a disconnect of the caller: leaves the queues and, if the request
  /// is idempotent, cancels the attempts in flight.
  void onCallerDisconnected(TimePoint Now, RelayActions &Out);

  /// When onTimer() is due; infinite if no timer is set.
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
  /// Whether an attempt is known not to have been executed.
  bool passedBack() const;
  /// Whether another instance may send the request to backend servers after
  /// this one has failed: it has not been executed, or it is idempotent and
  /// each part has an attempt left. The asking instance knows how many are left
  /// to a request of its.
  bool mayBeRepeated() const;
  /// Whether an attempt of this instance may have been executed.
  bool begun() const;
  /// Whether a home has found that the request must not be repeated.
  bool runsOnce() const { return Plan.RunsOnce; }
  /// Number of attempts for each part that are divided between homes; 0 if the
  /// request must not be repeated.
  int sharedAttempts() const;
  /// Whether no connection to any server of the service, or of too many shards,
  /// can be established.
  bool lacksServers() const;
  /// Whether an attempt before \p Id may have been executed or still may be.
  bool mayRepeat(std::size_t Id) const;
  /// Whether the home of attempt \p Id has to claim the last attempt of each
  /// part.
  bool holdsBack(std::size_t Id) const;
  TimePoint sentAt(std::size_t Id) const { return Attempts[Id].Sent; }
  /// Bytes of the bodies of responses that are kept until the request is
  /// answered.
  std::size_t heldBytes() const;
  /// Number of parts whose last due hedge was withheld because of \p Obstacle.
  std::size_t hedgesWithheld(HedgeWithheldReason Obstacle) const;
  /// Describes the parts without a response for the log: the service of each,
  /// the servers it was sent to with the milliseconds since the request's
  /// arrival, and why a hedge was withheld.
  std::string describeMissing() const { return describe(true); }
  /// Describes all parts in the same format.
  std::string describeParts() const { return describe(false); }

private:
  enum class PartState { Open, Answered, Failed };
  struct Part {
    PartState State = PartState::Open;
    /// Servers that the part was sent to.
    int Sent = 0;
    int InFlight = 0;
    /// The next attempt waits for the grant.
    bool AwaitsGrant = false;
    std::uint64_t WaitId = 0;
    std::vector<ServerRef> TriedServers;
    /// Those of them that have turned the part away without running it. They
    /// may get it again when the route allows no further server.
    std::vector<ServerRef> NotRunServers;
    TimePoint HedgeAt = absl::InfiniteFuture();
    /// When to claim the attempt that is due at HedgeAt.
    TimePoint ClaimAt = absl::InfiniteFuture();
    TimePoint RetryAt = absl::InfiniteFuture();
    /// Why the due hedge has not been sent.
    HedgeWithheldReason Obstacle = HedgeWithheldReason::None;
    /// The last complete response that was not accepted.
    std::shared_ptr<BackendResponse> ErrorResponse;
    std::shared_ptr<BackendResponse> Response;
  };
  struct Attempt {
    std::size_t Part = 0;
    ServerRef Server;
    TimePoint Sent;
    AttemptCause Cause = AttemptCause::First;
    bool InFlight = true;
    /// The home has read the request.
    bool Acknowledged = false;
    /// The server has not executed it and never will.
    bool NotExecuted = false;
    /// The home may send the attempts that were held back.
    bool Granted = false;
    /// The home would have passed the request back if its route did not allow a
    /// second home.
    bool ChecksRepeats = false;
  };

  AttemptPermitRequest permitRequest(const Part &P) const;
  /// What the request would meet at each service.
  std::vector<ServiceOutlook> outlook(TimePoint Now) const;
  /// Whether the route allows another server, or a server that has turned the
  /// part away may get it again.
  bool mayAttempt(const Part &P, TimePoint Now) const;
  std::string describe(bool OnlyMissing) const;
  void acquirePermit(std::size_t Index, AttemptCause Cause, TimePoint Now,
                     RelayActions &Out);
  void send(std::size_t Index, ServerRef Server, AttemptCause Cause,
            TimePoint Now, RelayActions &Out);
  void hedge(std::size_t Index, TimePoint Now, RelayActions &Out);
  void retry(std::size_t Index, TimePoint Now, RelayActions &Out);
  void retryOrFail(std::size_t Index, TimePoint Now);
  /// Whether the next attempt of \p P is held back by the asking instance.
  bool isHeldBack(const Part &P) const;
  /// Claims the attempts that are held back, unless that has been done.
  void claim(TimePoint Now, RelayActions &Out);
  /// Claims them, and lets the next attempt of the part wait for the grant.
  void awaitGrant(std::size_t Index, TimePoint Now, RelayActions &Out);
  /// Whether most parts of a survey are open, so that the delay is common to
  /// them.
  bool mostPartsOpen() const;
  /// Whether a home that may have executed the request has got the attempts
  /// that were held back.
  bool grantedAway() const;
  void failPart(std::size_t Index);
  bool acceptResponse(std::size_t Index, const AttemptEnd &End);
  void leaveQueue(std::size_t Index);
  /// Ends a request that is not answered with the parts that have arrived.
  void finishWithParts(TimePoint Now, RelayActions &Out);
  void finishIfDecided(TimePoint Now, RelayActions &Out);
  void finish(RelayResult Verdict, RelayActions &Out);
  RelayResult failureResult(TimePoint Now) const;
  /// Returns a rejection with a Retry-After at which \p Target is expected to
  /// have capacity, at least \p Wait from now and not before a pause of all its
  /// servers ends.
  RelayResult rejection(const RelayTarget &Target, Duration Wait,
                        TimePoint Now) const;
  RelayResult rejection(const AdmissionDecision &Admission,
                        TimePoint Now) const;
  RelayResult mergedResult() const;
  std::size_t neededParts() const {
    return quetzallead::neededParts(*Plan.MatchedRoute);
  }
  void updateNextTimer();
  /// Whether an attempt of this or another instance may have been executed.
  bool mayHaveExecuted() const { return Plan.Repeated || begun(); }
  bool blocked() const { return IsBlocked && IsBlocked(); }
  bool suspected() const { return IsSuspected && IsSuspected(); }
  const Route *currentRoute() const {
    return CurrentRoute ? CurrentRoute() : nullptr;
  }
  /// Whether all routes that the request has matched are idempotent.
  bool isIdempotent() const;
  /// Whether the request may be sent again although an attempt may have been
  /// executed.
  bool repeatable() const;
  /// Whether the request may be sent to a server.
  bool maySend() const { return !mayHaveExecuted() || repeatable(); }
  /// Maximum number of attempts for each part, including one that is held back.
  int maxAttempts() const;
  /// Time after which an attempt is of no use. The parts of a survey have
  /// little value after the objective; a single response is delivered late
  /// rather than not at all.
  TimePoint latestStart() const {
    return isSurvey() ? Plan.ObjectiveDeadline : Plan.Deadline;
  }
  /// Delay after an attempt at which a hedge is due.
  Duration hedgeDelay() const;
  /// Cancels the attempts at homes that have not acknowledged them, and ejects
  /// these homes.
  void abandonSilentHomes(std::size_t Index, TimePoint Now, RelayActions &Out);
  bool isForwarded() const {
    return Plan.MatchedRoute->Target == RouteTarget::Home;
  }
  bool isSurvey() const {
    return Plan.MatchedRoute->Target == RouteTarget::Survey;
  }

  RelayPlan Plan;
  std::vector<Part> Parts;
  std::vector<Attempt> Attempts;
  std::size_t AnsweredParts = 0;
  std::size_t FailedParts = 0;
  bool Answered = false;
  TimePoint ClaimedAt = absl::InfiniteFuture();
  /// The attempts that were claimed may be sent.
  bool Granted = false;
  TimePoint NextTimer = absl::InfiniteFuture();
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_RELAYREQUEST_H
