#ifndef QUETZALLEAD_RELAY_ATTEMPTCODEC_H
#define QUETZALLEAD_RELAY_ATTEMPTCODEC_H

#include "core/relay/BackendResponse.h"
#include "core/relay/PoolServer.h"
#include "relay/ForwardedRequest.h"
#include "relay/HttpExchange.h"
#include <functional>
#include <string>

namespace quetzallead {

class RouteTable;

/// What an attempt carries besides the caller's request.
struct AttemptToEncode {
  const PoolServer &Server;
  /// Time that the server has for the attempt.
  Duration TimeLeft;
  /// An earlier attempt of the request may have been executed.
  bool MayRepeat = false;
  /// An earlier attempt was passed back.
  bool PassedBack = false;
  /// RelayRequest::holdsBack().
  bool LastAttemptHeldBack = false;
  /// RelayRequest::runsOnce().
  bool RunsOnce = false;
  /// RelayRequest::sharedAttempts().
  int SharedAttempts = 0;
};

/// Translates between attempts and their bytes; differs between backend servers
/// and homes.
struct AttemptCodec {
  std::function<std::string(const ForwardedRequest &, const AttemptToEncode &)>
      Encode;
  std::function<AttemptEnd(const std::shared_ptr<PoolServer> &,
                           const ForwardedRequest &,
                           const HttpExchangeResult &)>
      Decode;
  /// Called with the head of each response, also if the attempt is late, has
  /// lost against a hedge or ends without a whole response; may be empty.
  std::function<void(const std::shared_ptr<PoolServer> &,
                     const HttpResponseHead &)>
      OnHead;
  /// Called when a server has answered a request completely; may be empty.
  std::function<void(const ForwardedRequest &)> OnAnswered;
  /// Called when a server has closed the connection of a request that it has
  /// not answered completely; may be empty.
  std::function<void(const std::shared_ptr<PoolServer> &,
                     const ForwardedRequest &)>
      OnLost;
  /// Whether a request must not be sent to another server; may be empty.
  std::function<bool(const ForwardedRequest &)> IsBlocked;
  /// Whether a server has ended under a request of this content; may be empty.
  std::function<bool(const ForwardedRequest &)> IsSuspected;
  /// The sheet in force; may be empty.
  std::function<std::shared_ptr<const RouteTable>()> CurrentTable;
  /// The peer acknowledges a request that it has read.
  bool Acknowledged = false;
  /// Whether an informational response claims the attempts that are held back;
  /// it acknowledges the request otherwise. May be empty.
  std::function<bool(const ForwardedRequest &, const HttpResponseHead &)>
      IsClaim;
  /// Encodes the message that grants a claim; empty if IsClaim is.
  std::function<std::string(const ForwardedRequest &)> EncodeGrant;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_ATTEMPTCODEC_H
