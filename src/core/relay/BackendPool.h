#ifndef QUETZALLEAD_CORE_RELAY_BACKENDPOOL_H
#define QUETZALLEAD_CORE_RELAY_BACKENDPOOL_H

#include "core/relay/PoolPolicy.h"
#include "core/relay/PoolServer.h"
#include "core/relay/RequestKind.h"
#include "core/relay/ReturnSchedule.h"
#include "core/relay/RouteStats.h"
#include "core/relay/ServiceSnapshot.h"
#include "quetzallead/AttemptResult.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace quetzallead {

using ServerRef = std::shared_ptr<PoolServer>;

/// Asks for a place at a backend server.
struct PlaceRequest {
  const RouteStats *Stats = nullptr;
  RequestKind Kind = RequestKind::Idempotent;
  /// Time within which the request should be answered.
  Duration Objective = absl::Milliseconds(100);
  /// 0 goes first in the queue.
  int Rank = 0;
  /// An answer after this is worth little: those that can still be in time go
  /// first.
  TimePoint UsefulUntil = absl::InfiniteFuture();
  /// Servers that must not be chosen.
  std::vector<ServerRef> Excluded;
  /// If false, only a sound server with little ahead is chosen; for hedges.
  bool LastResort = true;
};

/// Called when a queued request gets its place, with null if there is no
/// server for it any more.
using PlaceWaiter = std::function<void(ServerRef, TimePoint Now)>;

enum class PlaceOutcome { Granted, Queued, None };

struct Place {
  PlaceOutcome Outcome = PlaceOutcome::None;
  ServerRef Server;
  /// Names the place in the queue, if queued.
  std::uint64_t WaitId = 0;
};

/// The backend servers of one service as one instance sees them: which one
/// gets the next attempt, how many may be in flight, and the queue before
/// them.
///
/// Load patterns it answers: servers of different speed, servers that pause
/// for a moment, that turn slow for a while, lose answers or fall silent, and
/// bursts. The
/// choice is by expected time to the answer; a server whose oldest attempt is
/// overdue gets nothing more until it speaks while another one is there. A
/// server that says that requests wait in its own queue gets one at a time from
/// each instance, so that the rest waits here, in the order of their worth.
/// Not thread-safe.
class BackendPool {
public:
  BackendPool(std::string Zone, std::uint64_t Seed, PoolPolicy Policy = {});

  /// The feed's word of a server; a new lifetime under a known id begins
  /// without what was learned of the former.
  void upsert(const DiscoveredServer &Info, TimePoint Now);
  void remove(const std::string &Id, TimePoint Now);
  /// Connections to each server that this instance may hold, at least 1.
  void setConnectionShare(int Share, TimePoint Now);
  int connectionShare() const { return ConnectionShare; }

  /// Takes a place; a granted one is given back by release().
  Place acquire(const PlaceRequest &Request, bool MayWait, PlaceWaiter Waiter,
                TimePoint Now);
  /// Leaves the queue.
  void abandon(std::uint64_t WaitId);
  /// Ends an attempt that was sent at \p Sent.
  void release(const ServerRef &Server, TimePoint Sent,
               const AttemptReport &Report, RouteStats &Stats, TimePoint Now);
  /// Hands free places to the queue; call after release() and once what
  /// changed has been carried out.
  void serveQueue(TimePoint Now);

  /// True if there is a server that may receive work and is not known to be
  /// out of reach.
  bool usable() const;
  /// Time until a request that came now would be answered; infinite if there
  /// is no server in reach.
  Duration expectedDelay(const RouteStats &Stats, TimePoint Now) const;
  /// When a request that is turned away now should return: behind \p Wait, at
  /// the pace of this instance's part of the servers, one of \p Instances.
  /// \p Longest is the time for which callers wait for that.
  Duration reserveReturn(const RouteStats &Stats, Duration Wait, int Instances,
                         Duration Longest, TimePoint Now);
  std::size_t queueLength() const { return Queue.size(); }
  /// How \p S stands; Leaving if it may not receive work.
  static ServerStanding standing(const PoolServer &S, TimePoint Now);
  /// All of it but the budget, which is not the pool's.
  ServiceSnapshot snapshot(TimePoint Now) const;
  /// Time to an answer as a multiple of an ordinary server's, by what is
  /// believed of \p S now.
  static double slowness(const PoolServer &S, TimePoint Now);
  const std::map<std::string, ServerRef> &servers() const { return Servers; }

private:
  struct Waiter {
    std::uint64_t Id = 0;
    PlaceRequest Request;
    PlaceWaiter Notify;
  };
  bool eligible(const PoolServer &S, const PlaceRequest &Request) const;
  /// Requests ahead of the next one, by slots, as far as they are known.
  static double loadAhead(const PoolServer &S, TimePoint Now);
  double score(const PoolServer &S, const PlaceRequest &Request,
               TimePoint Now) const;
  /// Null with \p AnyEligible telling whether waiting may help.
  ServerRef choose(const PlaceRequest &Request, TimePoint Now,
                   bool &AnyEligible);
  int limit(const PoolServer &S, TimePoint Now) const;
  Duration completion(const PoolServer &S, const RouteStats &Stats,
                      TimePoint Now) const;
  bool serveOne(bool Late, TimePoint Now);
  void take(PoolServer &S, const RouteStats &Stats, TimePoint Now) const;
  void learn(PoolServer &S, const AttemptReport &Report, RouteStats &Stats,
             TimePoint Now);

  const std::string Zone;
  const PoolPolicy Policy;
  int ConnectionShare = 1;
  std::map<std::string, ServerRef> Servers;
  /// By rank, then in the order of the policy.
  std::deque<Waiter> Queue;
  std::uint64_t NextWaitId = 1;
  ReturnSchedule Returns;
  pcg32 Engine;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_BACKENDPOOL_H
