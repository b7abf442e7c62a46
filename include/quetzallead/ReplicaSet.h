#ifndef QUETZALLEAD_REPLICASET_H
#define QUETZALLEAD_REPLICASET_H

#include "absl/base/thread_annotations.h"
#include "quetzallead/AttemptResult.h"
#include "quetzallead/MissingReason.h"
#include "quetzallead/PosixMutex.h"
#include "quetzallead/Priority.h"
#include "quetzallead/ReplicaMask.h"
#include "quetzallead/RoutingPolicy.h"
#include "quetzallead/ServerBelief.h"
#include "quetzallead/ShardSpec.h"
#include <array>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace quetzallead {

/// What receives a permit that was waited for. Called without any lock of the
/// replica set held.
class PermitListener {
public:
  virtual ~PermitListener() = default;
  /// Replica \p Replica may be used for part \p Part.
  virtual void onPermit(std::size_t Part, std::size_t Replica,
                        TimePoint Now) = 0;
  /// No replica may be used for part \p Part any more; it has left the queue.
  virtual void onRefusal(std::size_t Part, MissingReason Reason,
                         TimePoint Now) = 0;
};

/// Asks for a permit to send one attempt.
struct PermitRequest {
  Priority Urgency = Priority::Ordinary;
  /// When the attempt is no longer worth starting.
  TimePoint Deadline = absl::InfiniteFuture();
  /// Version the replica must be able to hold; 0 for any.
  std::uint64_t Version = 0;
  /// Replicas that must not be chosen.
  ReplicaMask Excluded = 0;
  /// If false the request is refused rather than queued.
  bool MayWait = true;
  std::size_t Part = 0;
};

enum class PermitOutcome { Granted, Queued, Refused };

/// The answer to a PermitRequest.
struct Permit {
  PermitOutcome Outcome = PermitOutcome::Refused;
  /// The replica, if granted.
  std::size_t Replica = 0;
  /// Names the place in the queue, if queued.
  std::uint64_t WaitId = 0;
  /// Why, if refused.
  MissingReason Reason = MissingReason::NoReplica;
  /// When to come back, if refused.
  Duration RetryAfter = absl::ZeroDuration();
};

/// A queued request whose turn has come, or that waits in vain; deliver()
/// passes it on.
struct PermitGrant {
  std::shared_ptr<PermitListener> Listener;
  std::size_t Part = 0;
  std::size_t Replica = 0;
  /// Set if the request is refused after all.
  std::optional<MissingReason> Refusal = std::nullopt;

  void deliver(TimePoint Now) const {
    if (Refusal)
      Listener->onRefusal(Part, *Refusal, Now);
    else
      Listener->onPermit(Part, Replica, Now);
  }
};

/// Limits that hold for every shard at one instance.
struct ReplicaSetOptions {
  RoutingPolicy Policy = RoutingPolicy::ExpectedCompletion;
  /// Availability zone of this instance.
  std::string Zone;
  /// Requests that may wait per shard.
  std::size_t QueueLimit = 64;
  std::uint64_t Seed = 1;
};

/// The replicas of one shard as one instance sees them: whom to send the next
/// attempt to, how many may be in flight, and the queue before them. Owns all
/// rules about when a backend server may receive work. Thread-safe.
class ReplicaSet {
public:
  /// \p Instances is the number of instances that share the servers'
  /// connections, at least 1.
  ReplicaSet(const ShardSpec &Spec, ReplicaSetOptions Options, int Instances,
             TimePoint Now);

  /// Follows a new sheet. Servers keep their index; what was learned of a
  /// server whose name and address stay is kept.
  std::vector<PermitGrant> update(const ShardSpec &Spec, int Instances,
                                  TimePoint Now);

  /// Asks for a permit. A granted permit is given back by release().
  Permit acquire(const PermitRequest &Request,
                 const std::shared_ptr<PermitListener> &Listener,
                 TimePoint Now);
  /// Takes a permit at \p Replica if a connection of this instance's share is
  /// free there, whatever the replica's state; given back by release().
  bool acquireOn(std::size_t Replica);
  /// Leaves the queue; false if the request is no longer in it.
  bool abandon(std::uint64_t WaitId);
  /// Ends an attempt and returns the queued requests whose turn has come.
  std::vector<PermitGrant> release(std::size_t Replica,
                                   const AttemptReport &Report, TimePoint Now);

  /// Time until a request of \p Urgency that came now would be sent;
  /// infinite if there is no replica or no place in the queue.
  Duration expectedWait(Priority Urgency, TimePoint Now) const;

  /// Someone else learned that \p Server is leaving, or no longer is
  /// (LeavingCause::None). Unknown names are ignored.
  void noteLeaving(const std::string &Server, LeavingCause Cause,
                   TimePoint Now);
  /// Someone else found \p Server dead: as a failure of our own, unless it
  /// answered here lately.
  void noteDead(const std::string &Server, TimePoint Now);
  /// Someone else lost several attempts in a row at \p Server: it is held back
  /// as after losses of our own, unless it answered here lately.
  void noteUnanswering(const std::string &Server, TimePoint Now);
  /// A health probe says that \p Server is up: a server held back because of a
  /// drain reply or a peer's word may be tried again. True if it is from now
  /// on; not if the probe came too soon to be believed.
  bool noteHealthy(const std::string &Server, TimePoint Now);

  /// A probe of \p Replica was answered: a server that waits for one may be
  /// tried again, with one attempt at a time at first.
  void noteReachable(std::size_t Replica, TimePoint Now);
  /// A probe of \p Replica could not connect: the server is down, so that the
  /// next probe that is answered tells of its return.
  void noteUnreachable(std::size_t Replica, TimePoint Now);

  /// Number of replica indexes in use.
  std::size_t size() const;
  BackendServerSpec spec(std::size_t Replica) const;
  ServerBelief belief(std::size_t Replica) const;
  /// True if the sheet no longer has the replica.
  bool removed(std::size_t Replica) const;
  /// The versions each replica is known to hold, by index, and in \p Removed
  /// the replicas that the sheet no longer has.
  std::vector<HeldVersions> heldVersions(ReplicaMask &Removed) const;
  std::size_t queueLength() const;
  std::size_t queueLength(Priority Urgency) const;

private:
  struct Server {
    BackendServerSpec Spec;
    ServerBelief Belief;
    int ConnectionShare = 1;
    int LeavingCount = 0;
    bool Removed = false;
  };
  struct Waiter {
    std::uint64_t Id = 0;
    PermitRequest Request;
    std::shared_ptr<PermitListener> Listener;
  };

  /// Which replicas a choice may fall on; each admits more than the one before.
  enum class ChoicePass { Preferred, Lagging, Ejected, Failed };

  bool allowed(const Server &S, const PermitRequest &Request, ChoicePass Pass,
               TimePoint Now) const;
  int permits(const Server &S, TimePoint Now) const;
  double score(const Server &S, TimePoint Now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  Duration expectedLatency(const Server &S, TimePoint Now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  Duration meanLatency() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  Duration waitLocked(Priority Urgency, TimePoint Now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  /// Index of the chosen replica, or -1 with \p AnyAllowed telling whether one
  /// would be allowed once it has a free permit.
  int choose(const PermitRequest &Request, TimePoint Now, bool &AnyAllowed)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  int chooseByPolicy(const std::vector<int> &Allowed, TimePoint Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  int chooseByCompletion(const std::vector<int> &Allowed,
                         const std::vector<int> &Free, TimePoint Now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  MissingReason refusalReason(const PermitRequest &Request) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void take(Server &S) const;
  std::vector<PermitGrant> drainQueue(TimePoint Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void learn(Server &S, const AttemptReport &Report, TimePoint Now);
  Server *find(const std::string &Name) ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  const ReplicaSetOptions Options;
  mutable PosixMutex Mutex;
  std::vector<Server> Servers ABSL_GUARDED_BY(Mutex);
  std::array<std::list<Waiter>, PriorityCount> Queues ABSL_GUARDED_BY(Mutex);
  std::size_t Queued ABSL_GUARDED_BY(Mutex) = 0;
  /// Grants since a waiter of a lower priority was last served.
  int UrgentStreak ABSL_GUARDED_BY(Mutex) = 0;
  std::uint64_t NextWaitId ABSL_GUARDED_BY(Mutex) = 1;
  std::size_t NextTurn ABSL_GUARDED_BY(Mutex) = 0;
  pcg32 Engine ABSL_GUARDED_BY(Mutex);
};

} // namespace quetzallead

#endif // QUETZALLEAD_REPLICASET_H
