#ifndef QUETZALLEAD_DAEMON_QUERYSESSION_H
#define QUETZALLEAD_DAEMON_QUERYSESSION_H

#include "absl/base/thread_annotations.h"
#include "daemon/BackendCodec.h"
#include "daemon/DecisionRecord.h"
#include "daemon/QueryEnvironment.h"
#include "daemon/QueryOutcome.h"
#include "daemon/RequestContext.h"
#include "daemon/ServiceView.h"
#include "quetzallead/PosixMutex.h"
#include "quetzallead/Survey.h"
#include "quetzallead/SurveyTrace.h"
#include "runtime/TimerService.h"
#include "transport/http/HttpClient.h"
#include <functional>
#include <memory>
#include <vector>

namespace quetzallead {

/// What a QuerySession runs.
struct QueryJob {
  RequestContext Context;
  std::shared_ptr<const ServiceView> Service;
  /// Shard index in Service of each part of Plan.
  std::vector<std::size_t> Shards;
  SurveyPlan Plan;
  SubRequestTemplate Template;
  std::uint64_t SheetRevision = 0;
};

/// Carries out one Survey: asks replica sets for permits, sends attempts to
/// backend servers and feeds what comes back to the survey. Keeps itself alive
/// until its last attempt has ended, which may be after the answer.
class QuerySession : public PermitListener,
                     public std::enable_shared_from_this<QuerySession> {
public:
  /// Called once with the outcome, on any thread, without locks held.
  using Completion = std::function<void(QueryOutcome)>;

  static void start(QueryEnvironment &Env, QueryJob Job, Completion OnDone);

  void onPermit(std::size_t Part, std::size_t Replica, TimePoint Now) override;
  void onRefusal(std::size_t Part, MissingReason Reason,
                 TimePoint Now) override;

private:
  struct LiveAttempt {
    std::string Id;
    std::size_t Part = 0;
    std::size_t Replica = 0;
    std::uint64_t Version = 0;
    TimePoint Sent;
    HttpClient::CallId Call = 0;
    bool CancelAsked = false;
    std::size_t Record = 0;
  };
  using Event = std::function<void(Survey &, SurveyActions &)>;

  QuerySession(QueryEnvironment &Env, QueryJob Job, Completion OnDone);

  /// Feeds one event to the survey and carries out what follows.
  void dispatch(TimePoint Now, const Event &Feed);
  void perform(SurveyActions First, TimePoint Now,
               std::vector<PermitGrant> &Grants)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void acquire(const AcquirePermit &Ask, TimePoint Now, SurveyActions &Next)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void giveBack(std::size_t Part, std::size_t Replica, TimePoint Now,
                std::vector<PermitGrant> &Grants)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void send(const SendAttempt &Action, TimePoint Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void cancel(const CancelAttempt &Action) ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  HttpCall makeCall(const LiveAttempt &A, const BackendServerSpec &Server,
                    TimePoint Now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void onExchange(AttemptId Attempt, HttpOutcome Outcome);
  void record(LiveAttempt &A, const DecodedReply &Reply, Duration Elapsed)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  /// Follows the survey's next timer; returns the one that it replaces.
  std::shared_ptr<TimerService::Subscription> rearm()
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void closeRecord() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  /// Tells the survey what the replica set believes of its replicas.
  void learnHeld(std::size_t Part, TimePoint Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void beginTrace() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  /// Appends \p Traced, at \p Now, to the trace if there is one.
  void trace(TraceEvent Traced, TimePoint Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void endTrace(const QueryOutcome &Outcome, TimePoint Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  ReplicaSet &set(std::size_t Part) const;

  QueryEnvironment &Env;
  const QueryJob Job;
  PosixMutex Mutex;
  Survey Query ABSL_GUARDED_BY(Mutex);
  std::vector<LiveAttempt> Attempts ABSL_GUARDED_BY(Mutex);
  /// Place in the queue of each part; 0 if it does not wait.
  std::vector<std::uint64_t> Waits ABSL_GUARDED_BY(Mutex);
  int LiveCount ABSL_GUARDED_BY(Mutex) = 0;
  std::shared_ptr<TimerService::Subscription> Timer ABSL_GUARDED_BY(Mutex);
  TimePoint TimerAt ABSL_GUARDED_BY(Mutex) = absl::InfiniteFuture();
  Completion OnDone ABSL_GUARDED_BY(Mutex);
  bool Answered ABSL_GUARDED_BY(Mutex) = false;
  DecisionRecord Record ABSL_GUARDED_BY(Mutex);
  /// Null if this survey is not recorded.
  std::unique_ptr<SurveyTrace> Trace ABSL_GUARDED_BY(Mutex);
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_QUERYSESSION_H
