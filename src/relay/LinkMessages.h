#ifndef QUETZALLEAD_RELAY_LINKMESSAGES_H
#define QUETZALLEAD_RELAY_LINKMESSAGES_H

#include "core/relay/BackendResponse.h"
#include "relay/ForwardedRequest.h"
#include "relay/HeaderNames.h"
#include "relay/HttpExchange.h"
#include "relay/RelayMessages.h"
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace quetzallead {

/// Target of the request for the sheet.
inline constexpr char LinkSheetTarget[] = "/quetzallead/sheet";

/// Target of the message that grants attempts.
inline constexpr char LinkAttemptsTarget[] = "/quetzallead/attempts";

/// Bytes that messages between instances may have in their heads besides what
/// callers and backend servers have sent.
inline constexpr std::size_t LinkHeadRoom = std::size_t{16} << 10;

/// What an instance tells a home about a request, besides the request.
struct LinkRequestInfo {
  /// Time since the caller's request arrived.
  Duration Age = absl::ZeroDuration();
  /// ForwardedRequest::TransitTime at the asking instance.
  Duration TransitTime = absl::ZeroDuration();
  /// Highest sheet version whose effect the asking instance has seen; a home
  /// with an older sheet must not serve the request.
  std::uint64_t SheetVersion = 0;
  /// Another home may already have sent the request to backend servers.
  bool Repeated = false;
  /// The home has to claim the last attempt of each part.
  bool LastAttemptHeldBack = false;
  /// RelayRequest::runsOnce(): the home must not repeat the request either.
  bool RunsOnce = false;
  /// RelayRequest::sharedAttempts().
  int SharedAttempts = 0;
  /// Another home has passed the request back: this one serves it even if it
  /// has lost the store.
  bool PassedBack = false;
  /// The caller's request is for the sheet of the home.
  bool WantsSheet = false;
  /// The response may be SheetHistory::updateFrom(SheetVersion).
  bool TakesSheetUpdate = false;
  /// The body holds crash reports, and the response will.
  bool ExchangesCrashes = false;
  /// The body asks for tokens of accounts, and the response will hold some.
  bool AsksForTokens = false;
  /// Not a request: a message that grants the home what it has claimed. It has
  /// no response.
  bool GrantsAttempts = false;
};

/// What a home tells the asking instance about a response.
struct LinkResponseInfo {
  /// Sheet version of the home; 0 if it has none.
  std::uint64_t SheetVersion = 0;
  /// The home has lost the store.
  bool StoreLost = false;
  /// Time since the store last served a call of the home; empty if the home
  /// does not say.
  std::optional<Duration> StoreAge;
  /// Instances that divide the limits of backend servers, as the home counts
  /// them; 0 if it does not say.
  int Sharers = 0;
  /// CrashSuspects::digest() of the home.
  std::uint64_t CrashDigest = 0;
  /// The home has not run the request and never will; another one may.
  bool TryElsewhere = false;
  /// With TryElsewhere: the home serves the request if no other will get it
  /// after it; its route does not let a second home have it.
  bool RunsOnce = false;
  /// The home passes such requests back. An instance of an older version does
  /// not.
  bool ChecksRepeats = false;
  /// The home has lost the backend servers.
  bool ServersLost = false;
  /// The home may have run the request and can get no response: what may be
  /// repeated can go to another one.
  bool Abandoned = false;
  /// The store has told the home which availability zones are evacuated.
  bool KnowsZones = false;
  std::set<std::string> EvacuatedZones;
};

/// Encodes a request to a home with a message authentication code under
/// \p Secret. \p Remaining is the time until the caller's timeout.
std::string encodeLinkRequest(const ForwardedRequest &Call,
                              const HeaderNames &Names,
                              const LinkRequestInfo &Info, Duration Remaining,
                              const std::string &Secret);

/// Checks and decodes the link header of \p Request, whose body must still be
/// in place. Returns nothing if it is missing, malformed or not signed with
/// \p Secret.
std::optional<LinkRequestInfo> decodeLinkRequest(const HttpRequest &Request,
                                                 const HeaderNames &Names,
                                                 const std::string &Secret);

/// Inserts the link header into \p Response, an encoded response to the request
/// \p RequestId.
std::string addLinkHeader(std::string Response, const std::string &RequestId,
                          const LinkResponseInfo &Info,
                          const std::string &Secret);

/// Encodes an informational response by which a home claims the attempts of the
/// request \p RequestId that are held back.
std::string encodeAttemptClaim(const std::string &RequestId,
                               const std::string &Secret);

/// Whether \p Head is encodeAttemptClaim() for \p RequestId, signed with
/// \p Secret.
bool isAttemptClaim(const HttpResponseHead &Head, const std::string &RequestId,
                    const std::string &Secret);

/// Encodes the message that grants the attempts of \p Call that were claimed.
std::string encodeAttemptGrant(const ForwardedRequest &Call,
                               const HeaderNames &Names,
                               const std::string &Secret);

/// Encodes a response with \p Body to a request of another instance. The
/// response to a request for the sheet is empty if the asking instance has the
/// newest one.
std::string encodeLinkBody(absl::string_view Body, bool KeepOpen);

/// Checks and decodes the link header of a response. Returns nothing if it is
/// missing, malformed or not signed with \p Secret.
std::optional<LinkResponseInfo> decodeLinkResponse(const HttpResponse &Response,
                                                   const std::string &RequestId,
                                                   const std::string &Secret);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_LINKMESSAGES_H
