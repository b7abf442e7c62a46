#ifndef QUETZALLEAD_CORE_RELAY_WAITQUEUE_H
#define QUETZALLEAD_CORE_RELAY_WAITQUEUE_H

#include "core/relay/AttemptPermitRequest.h"
#include "core/relay/PoolPolicy.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace quetzallead {

/// An attempt that waits for a slot.
struct WaitingAttempt {
  std::uint64_t Id = 0;
  AttemptPermitRequest Request;
  AttemptPermitCallback Notify;
  /// Position among the accounts of the same rank; see WaitQueue.
  double Turn = 0;
};

/// True if \p A is of a better rank than \p B: by the priority of the account,
/// then by that of the route.
bool outranks(const AttemptPermitRequest &A, const AttemptPermitRequest &B);

/// The attempts that wait for a slot of one service, in the order in which they
/// cost callers most if they wait on.
///
/// Handles bursts of a kind of request that matters less, which must not delay
/// those that matter more, and accounts that send several times their usual,
/// which must not delay other accounts of their rank: ordered by rank, then by
/// turns of the accounts (start-time fair queueing over the expected work),
/// then parts that decide their survey, then by QueueOrder. A full queue gives
/// up its last attempt for one that outranks it or whose account has fewer
/// waiting. Not thread-safe.
class WaitQueue {
public:
  explicit WaitQueue(QueueOrder GivenOrder) : Order(GivenOrder) {}

  /// Takes out the attempt that a full queue gives up for \p New; nothing if
  /// there is none, and \p New must not wait.
  std::optional<WaitingAttempt> displaceFor(const AttemptPermitRequest &New);
  /// Whether displaceFor() must make room first.
  bool full() const { return Waiting.size() >= MaxWaiting; }
  std::uint64_t add(AttemptPermitRequest Request, AttemptPermitCallback Notify);
  void cancel(std::uint64_t Id);
  /// Takes out the attempt at \p Index of attempts(), which is served.
  WaitingAttempt serve(std::size_t Index);
  /// Takes out an attempt that can no longer be of use at \p Now; nothing if
  /// there is none.
  std::optional<WaitingAttempt> takeExpired(TimePoint Now);

  const std::deque<WaitingAttempt> &attempts() const { return Waiting; }
  std::size_t size() const { return Waiting.size(); }
  bool empty() const { return Waiting.empty(); }
  /// Attempts that displaceFor() has taken out so far.
  std::size_t displacedCount() const { return Displaced; }
  /// Number of attempts that \p Request would wait for.
  std::size_t countAhead(const AttemptPermitRequest &Request) const;

private:
  static constexpr std::size_t MaxWaiting = 64;

  bool goesBefore(const WaitingAttempt &New, const WaitingAttempt &Old) const;
  WaitingAttempt takeOut(std::size_t Index);
  std::size_t waitingOf(const AttemptPermitRequest &Request) const;

  const QueueOrder Order;
  std::deque<WaitingAttempt> Waiting;
  std::uint64_t NextId = 1;
  std::size_t Displaced = 0;
  /// Turn of the attempt that was served last.
  double Served = 0;
  /// Turn after the last attempt of each account that has some waiting.
  std::map<std::string, double> NextTurn;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_WAITQUEUE_H
