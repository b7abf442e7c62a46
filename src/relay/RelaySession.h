#ifndef QUETZALLEAD_RELAY_RELAYSESSION_H
#define QUETZALLEAD_RELAY_RELAYSESSION_H

#include "core/relay/RelayRequest.h"
#include "core/relay/RouteTable.h"
#include "relay/BackendClient.h"
#include "relay/RelayMessages.h"
#include "relay/RelayParts.h"
#include <functional>
#include <memory>
#include <vector>

namespace quetzallead {

/// Carries out one RelayRequest: sends its attempts, feeds what comes of them
/// back and passes on the verdict. Keeps itself alive until its last attempt
/// has ended, which may be after the answer.
class RelaySession : public std::enable_shared_from_this<RelaySession> {
public:
  /// Called once, unless the caller left.
  using Completion = std::function<void(const RelayVerdict &)>;

  /// \p Table holds the plan's route.
  RelaySession(RelayParts Shared, RelayCall Call,
               std::shared_ptr<const RouteTable> Table, RelayPlan Plan,
               Completion OnDone);

  void start();
  /// Nobody waits for the answer any more.
  void callerLeft();
  const RelayCall &call() const { return Call; }
  const RelayRequest &request() const { return Request; }
  std::uint64_t sheetVersion() const { return Table->sheet().Version; }

private:
  void perform(RelayActions Actions);
  void send(const SendRelayAttempt &Action);
  void onEnd(std::size_t Attempt, const HttpExchangeEnd &End);
  void logExtra(const SendRelayAttempt &Action, TimePoint Now) const;
  void logEnd(std::size_t Attempt, const AttemptEnd &End, TimePoint Now) const;
  void rearm();

  RelayParts Parts;
  RelayCall Call;
  std::shared_ptr<const RouteTable> Table;
  RelayRequest Request;
  Completion OnDone;
  std::vector<std::shared_ptr<HttpConnection>> Connections;
  std::shared_ptr<LoopTimers::Subscription> Timer;
  TimePoint TimerAt = absl::InfiniteFuture();
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYSESSION_H
