#ifndef QUETZALLEAD_RELAY_RELAYSESSION_H
#define QUETZALLEAD_RELAY_RELAYSESSION_H

#include "core/relay/RelayRequest.h"
#include "core/relay/RouteTable.h"
#include "relay/BackendClient.h"
#include "relay/MemoryHold.h"
#include "relay/RelayMessages.h"
#include "relay/RelaySessionContext.h"
#include <functional>
#include <memory>
#include <vector>

namespace quetzallead {

/// Performs the I/O of one RelayRequest: sends its attempts, reports their
/// results to it and delivers the verdict. Keeps itself alive until its last
/// attempt has ended, which may be after the caller got its response.
class RelaySession : public std::enable_shared_from_this<RelaySession> {
public:
  /// Called once, unless the caller disconnects first.
  using Completion = std::function<void(const RelayResult &)>;

  /// \p Table owns the route that \p Plan refers to, unless the plan does.
  RelaySession(RelaySessionContext Context, ForwardedRequest Call,
               std::shared_ptr<const RouteTable> Table, RelayPlan Plan,
               Completion OnDone);

  void start();
  /// Cancels the request, since its caller has disconnected.
  void onCallerDisconnected();
  /// This instance has lost the backend servers.
  void onServersLost();
  /// This instance is about to end: the caller gets its answer now.
  void onStopping();
  /// The asking instance has granted the attempts that it held back.
  void onGranted();
  /// Called when the request needs an attempt that the asking instance holds
  /// back; may be empty.
  std::function<void()> OnClaim;
  const ForwardedRequest &call() const { return Call; }
  const RelayRequest &request() const { return Request; }
  /// Version of the sheet in force when the request arrived; 0 if there was
  /// none.
  std::uint64_t sheetVersion() const {
    return Table != nullptr ? Table->sheet().Version : 0;
  }

private:
  void perform(RelayActions Actions);
  void send(const SendRelayAttempt &Action);
  void onInformational(std::size_t Attempt, const HttpResponseHead &Head);
  void onAttemptEnd(std::size_t Attempt, const HttpExchangeResult &End);
  /// Logs an attempt beyond the first: a hedge or a retry.
  void logAdditionalAttempt(const SendRelayAttempt &Action,
                            TimePoint Now) const;
  /// Logs the end of an attempt unless it was cancelled or answered with a
  /// status below 500.
  void logAttemptFailure(std::size_t Attempt, const AttemptEnd &End,
                         TimePoint Now) const;
  void updateHold();
  /// Frees what only further attempts or the response would need.
  void dropBodies();
  /// Sets the timer to the next time at which the request must be woken.
  void updateTimer();

  RelaySessionContext Context;
  ForwardedRequest Call;
  std::shared_ptr<const RouteTable> Table;
  /// Owns the route that the request was last compared with.
  std::shared_ptr<const RouteTable> CurrentTable;
  RelayRequest Request;
  Completion OnDone;
  MemoryHold Hold;
  std::vector<std::shared_ptr<HttpConnection>> Connections;
  std::shared_ptr<LoopTimers::Subscription> Timer;
  TimePoint TimerAt = absl::InfiniteFuture();
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYSESSION_H
