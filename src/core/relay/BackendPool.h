#ifndef QUETZALLEAD_CORE_RELAY_BACKENDPOOL_H
#define QUETZALLEAD_CORE_RELAY_BACKENDPOOL_H

#include "core/relay/AttemptPermitRequest.h"
#include "core/relay/PoolPolicy.h"
#include "core/relay/RetrySchedule.h"
#include "core/relay/RouteStats.h"
#include "core/relay/ServiceSnapshot.h"
#include "core/relay/SharingInstances.h"
#include "core/relay/WaitQueue.h"
#include "quetzallead/AttemptResult.h"
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

namespace quetzallead {

enum class AttemptPermitOutcome { Granted, Queued, None };

struct AttemptPermit {
  AttemptPermitOutcome Outcome = AttemptPermitOutcome::None;
  ServerRef Server;
  /// Identifies the queue entry, if queued.
  std::uint64_t WaitId = 0;
};

/// Load balancer of one instance over the backend servers of one service. It
/// selects the server for each attempt, limits the attempts in flight and
/// queues the requests that exceed the limits.
///
/// Handles servers of different speed, servers that pause briefly, slow down
/// for a while, lose responses or become unresponsive, and bursts. The server
/// with the lowest expected response time is selected. A server with an overdue
/// attempt is used only if no healthy one is available. A server that reports
/// requests in its own queue gets one attempt at a time from each instance, so
/// that the other requests wait in this queue, which is ordered by rank and by
/// QueueOrder. Suspected requests are kept apart from others as far as
/// possible, so that an end tells which one caused it. A server that has asked
/// for a pause gets none, and one that names a limit this instance's share of
/// it. Not thread-safe.
class BackendPool {
public:
  /// \p Sharing divides the limits of the servers; null if this instance is
  /// alone.
  BackendPool(std::string Zone, std::uint64_t Seed, PoolPolicy Policy = {},
              std::shared_ptr<const SharingInstances> Sharing = nullptr);

  /// Called with the time at which queued requests may get a permit although no
  /// attempt ends: grantPermits() is due then. May be empty.
  std::function<void(TimePoint)> OnPermitDue;

  /// Adds or updates a server from the discovery feed. A new incarnation under
  /// a known id starts without the statistics of the previous one.
  void upsert(const DiscoveredServer &Info, TimePoint Now);
  void remove(const std::string &Id, TimePoint Now);
  /// Sets the availability zones whose servers get no attempts. Call
  /// grantPermits() afterwards.
  void setEvacuatedZones(std::set<std::string> Zones, TimePoint Now);
  /// Sets what each server takes while cold; 0 for no cap.
  void setWarmUpRate(double PerSecond, TimePoint Now);
  /// Sets the maximum number of connections to each server, at least 1.
  void setConnectionShare(int Share, TimePoint Now);
  int connectionShare() const { return ConnectionShare; }

  /// Acquires a slot, which must be returned with release(). If none is free
  /// and \p MayWait is set, queues the request and calls \p Notify later.
  AttemptPermit acquire(const AttemptPermitRequest &Request, bool MayWait,
                        AttemptPermitCallback Notify, TimePoint Now);
  /// Removes a request from the queue.
  void cancelWait(std::uint64_t WaitId);
  /// Frees the slot of the attempt sent at \p Sent and records its outcome.
  void release(const ServerRef &Server, TimePoint Sent,
               const AttemptReport &Report, RouteStats &Stats, TimePoint Now);
  /// Marks \p Server, which this instance has lost together with all others, as
  /// out of reach. What it seemed to be before is forgotten, and what becomes
  /// of attempts that were sent before says nothing of it.
  static void markLost(const ServerRef &Server, TimePoint Now);
  /// Ejects \p Server at least until \p Until.
  static void eject(const ServerRef &Server, TimePoint Until);
  /// Grants free slots to queued requests. Call after release() and after
  /// applying changes of the server set or of the limits.
  void grantPermits(TimePoint Now);

  /// True if a server in one of \p Zones may get an attempt at \p Now and is
  /// not marked unreachable.
  bool hasReachableServer(TimePoint Now, const AllowedZones &Zones = {}) const;
  /// True if a server accepts attempts and is not marked unreachable, even if
  /// it has asked for a pause.
  bool hasConnectableServer() const;
  /// True if there are servers that accept attempts, and no connection to any
  /// of them can be established.
  bool outOfReach() const;
  /// Time until the first pause ends if all reachable servers are paused, or
  /// zero.
  Duration pauseLeft(TimePoint Now) const;
  /// Time for which the limits of the servers delay a request that arrives now:
  /// zero if a reachable server names none, infinite if this instance has no
  /// share of any.
  Duration limitDelay(TimePoint Now) const;
  /// Expected response time of a request that arrives now, including the queue
  /// but not limitDelay(); infinite if no server is reachable.
  /// Only the queued attempts count that \p Request does not outrank.
  Duration expectedDelay(const AttemptPermitRequest &Request,
                         TimePoint Now) const;
  /// Delay after which the caller should retry a request that is rejected now:
  /// at least \p Wait, with retries spaced by the service rate that this
  /// instance gets as one of \p Instances. \p MaxDelay is the longest delay
  /// that callers accept.
  Duration reserveRetryDelay(const RouteStats &Stats, Duration Wait,
                             int Instances, Duration MaxDelay, TimePoint Now);
  std::size_t queueLength() const { return Queue.size(); }
  /// Current state of \p S; Leaving if it must not receive new attempts.
  static ServerState state(const PoolServer &S, TimePoint Now);
  /// Fills in all fields except ExtraAttempts, which the pool does not track.
  ServiceSnapshot snapshot(TimePoint Now) const;
  /// Estimated response time of \p S as a multiple of a typical server's.
  static double slowness(const PoolServer &S, TimePoint Now);
  const std::map<std::string, ServerRef> &servers() const { return Servers; }

private:
  static bool eligible(const PoolServer &S, const AttemptPermitRequest &Request,
                       TimePoint Now);
  /// Known requests in progress or queued at the server, per slot.
  static double loadAhead(const PoolServer &S, TimePoint Now);
  /// Whether an attempt that is sent now is expected to end before the server
  /// may.
  bool mayComplete(const PoolServer &S, const RouteStats &Stats,
                   TimePoint Now) const;
  double score(const PoolServer &S, const AttemptPermitRequest &Request,
               TimePoint Now) const;
  /// Returns null if no slot is free; \p AnyEligible then tells whether one may
  /// become free.
  ServerRef choose(const AttemptPermitRequest &Request, TimePoint Now,
                   bool &AnyEligible);
  int inFlightLimit(const PoolServer &S, TimePoint Now) const;
  Duration expectedCompletion(const PoolServer &S, const RouteStats &Stats,
                              TimePoint Now) const;
  bool serveOne(bool Late, TimePoint Now);
  /// Calls OnPermitDue if a queued request waits for a limit.
  void announceNextPermit(TimePoint Now) const;
  void addPending(PoolServer &S, const AttemptPermitRequest &Request,
                  TimePoint Now) const;
  void recordOutcome(PoolServer &S, const AttemptReport &Report,
                     RouteStats &Stats, TimePoint Now);

  const std::string Zone;
  const PoolPolicy Policy;
  const std::shared_ptr<const SharingInstances> Sharing;
  int ConnectionShare = 1;
  std::set<std::string> EvacuatedZones;
  double WarmUpRate = 0;
  std::map<std::string, ServerRef> Servers;
  WaitQueue Queue;
  RetrySchedule RejectedRetries;
  pcg32 Engine;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_BACKENDPOOL_H
