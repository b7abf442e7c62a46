#ifndef QUETZALLEAD_SURVEY_H
#define QUETZALLEAD_SURVEY_H

#include "absl/container/inlined_vector.h"
#include "quetzallead/Answer.h"
#include "quetzallead/AttemptResult.h"
#include "quetzallead/RetryBudget.h"
#include "quetzallead/SubReply.h"
#include "quetzallead/SurveyActions.h"
#include "quetzallead/SurveyPlan.h"
#include <vector>

namespace quetzallead {

/// One query over the shards of a service: decides what is asked where, again
/// or beside, which snapshot the answer is taken from, and when it is given.
///
/// Every event returns actions through its out parameter; the driver carries
/// them out and feeds what comes of them back. All replies of the answer carry
/// one snapshot, and each shard is either covered or named as missing. Not
/// thread-safe.
class Survey {
public:
  /// \p Budget must outlive the survey.
  Survey(SurveyPlan Plan, RetryBudget &Budget);

  void start(TimePoint Now, SurveyActions &Out);
  /// A permit for part \p Index was granted, at once or after a wait.
  void onPermit(std::size_t Index, std::size_t Replica, TimePoint Now,
                SurveyActions &Out);
  /// The replica set refused a permit.
  void onRefused(std::size_t Index, MissingReason Reason, Duration After,
                 TimePoint Now, SurveyActions &Out);
  /// What the replicas of part \p Index are known to hold, by index; told
  /// before a refusal for MissingReason::OtherVersion.
  void learnHeld(std::size_t Index, const std::vector<HeldVersions> &Held);
  void onReply(AttemptId Id, SubReply Reply, TimePoint Now, SurveyActions &Out);
  /// The attempt ended without a reply. \p Held is what the server said it
  /// holds, for AttemptResult::WrongVersion.
  void onFailure(AttemptId Id, AttemptResult Outcome, HeldVersions Held,
                 TimePoint Now, SurveyActions &Out);
  /// nextTimer() has come.
  void onTimer(TimePoint Now, SurveyActions &Out);

  /// When onTimer() is due; infinite if finished.
  TimePoint nextTimer() const { return NextTimer; }
  bool finished() const { return Done; }
  /// The answer; valid once finished. Moves it out.
  Answer takeAnswer() { return std::move(Result); }
  /// Longest time a replica set asked to wait, for Retry-After.
  Duration retryAfter() const { return RetryAfter; }
  /// Attempts sent beyond the first of each part.
  int extraAttempts() const { return ExtraAttempts; }
  /// Hedges among them.
  int hedges() const { return Hedges; }
  std::size_t partOf(AttemptId Id) const { return Attempts[Id].Part; }

private:
  enum class PartState {
    Idle,     ///< Nothing asked yet.
    Asking,   ///< A permit is asked for or waited for, none in flight.
    InFlight, ///< At least one attempt is in flight.
    Covered,  ///< A reply at the target version is there.
    Blocked,  ///< Waits to be asked again: no replica holds the target version
              ///< yet, all refused, or the retry cannot be paid for yet.
    Failed,   ///< Given up.
  };
  struct Part {
    PartState State = PartState::Idle;
    ReplicaMask Tried = 0;
    int Live = 0;
    int Sent = 0;
    bool WaitPending = false;
    bool HedgePending = false;
    bool Hedged = false;
    int BlockedRounds = 0;
    TimePoint HedgeAt = absl::InfiniteFuture();
    TimePoint RetryAt = absl::InfiniteFuture();
    MissingReason LastReason = MissingReason::Timeout;
    absl::InlinedVector<SubReply, 1> Replies;
  };
  struct Attempt {
    std::size_t Part = 0;
    std::size_t Replica = 0;
    std::uint64_t Version = 0;
    bool Live = true;
  };

  void ask(std::size_t Index, bool MayWait, SurveyActions &Out);
  void endAttempt(AttemptId Id);
  void cover(std::size_t Index, SurveyActions &Out);
  void retryOrGiveUp(std::size_t Index, MissingReason Reason, bool Charged,
                     TimePoint Now, SurveyActions &Out);
  void giveUp(std::size_t Index, MissingReason Reason, TimePoint Now,
              SurveyActions &Out);
  void block(std::size_t Index, TimePoint Now, SurveyActions &Out);
  void reconsiderTarget(TimePoint Now, SurveyActions &Out);
  double targetScore(std::uint64_t Version) const;
  double holderScore(const PartPlan &PP, std::uint64_t Version) const;
  void switchTarget(std::uint64_t Version, TimePoint Now, SurveyActions &Out);
  const SubReply *replyAt(const Part &P, std::uint64_t Version) const;
  bool usable(const PartPlan &P, const SubReply &Reply) const;
  void cancelLive(std::size_t Index, SurveyActions &Out);
  void hedge(std::size_t Index, TimePoint Now, SurveyActions &Out);
  void backOff(std::size_t Index, TimePoint Now);
  void resume(std::size_t Index, TimePoint Now, SurveyActions &Out);
  bool anyLeft(std::size_t Index) const;
  void checkEnd(TimePoint Now, SurveyActions &Out);
  void finish(SurveyActions &Out);
  void wakeBy(TimePoint When);
  void rearm(TimePoint Now);
  std::uint64_t bestAnsweredVersion() const;
  void buildAnswer();

  SurveyPlan Plan;
  RetryBudget &Budget;
  std::vector<Part> Parts;
  std::vector<Attempt> Attempts;
  /// Version the answer is to carry; 0 until one is known.
  std::uint64_t Target = 0;
  int TargetSwitches = 0;
  std::size_t CoveredCount = 0;
  std::size_t FailedCount = 0;
  int ExtraAttempts = 0;
  int Hedges = 0;
  bool AnySent = false;
  bool AnyMayHaveRun = false;
  bool AnyRan = false;
  bool Done = false;
  TimePoint NextTimer = absl::InfiniteFuture();
  Duration RetryAfter = absl::ZeroDuration();
  Answer Result;
};

} // namespace quetzallead

#endif // QUETZALLEAD_SURVEY_H
