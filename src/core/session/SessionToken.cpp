#include "core/session/SessionToken.h"

#include "absl/strings/str_cat.h"
#include "core/base/Cbor.h"
#include "core/session/SignedText.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace quetzallead {
namespace {

using nlohmann::json;

constexpr const char *SessionIdField = "id";
constexpr const char *CallerField = "caller";
constexpr const char *IssuedField = "issued_ms";
constexpr const char *ExpiresField = "expires_ms";
constexpr const char *SeenField = "seen";

/// Instances read a token in milliseconds; the sender keeps the same value.
TimePoint toMillisecond(TimePoint Time) {
  return absl::FromUnixMillis(absl::ToUnixMillis(Time));
}

bool isName(const json &Value) {
  return Value.is_string() && Value.get_ref<const std::string &>().size() <=
                                  SessionToken::MaxNameBytes;
}

bool isWellFormed(const json &Map) {
  return Map.is_object() && Map.contains(SessionIdField) &&
         isName(Map[SessionIdField]) && Map.contains(CallerField) &&
         isName(Map[CallerField]) && Map.contains(IssuedField) &&
         Map[IssuedField].is_number_integer() && Map.contains(ExpiresField) &&
         Map[ExpiresField].is_number_integer() && Map.contains(SeenField) &&
         Map[SeenField].is_object() &&
         Map[SeenField].size() <= SessionToken::MaxSeenServices;
}

bool readSeen(const json &Map, SessionToken &Token) {
  for (const auto &[Service, Version] : Map[SeenField].items()) {
    if (!Version.is_number_unsigned())
      return false;
    Token.Seen.emplace(Service, Version.get<std::uint64_t>());
  }
  return true;
}

std::optional<SessionToken> tokenFromPayload(const std::string &Payload) {
  const json Map = parseCbor(Payload);
  if (Map.is_discarded() || !isWellFormed(Map))
    return std::nullopt;
  SessionToken Token;
  Token.SessionId = Map[SessionIdField].get<std::string>();
  Token.Caller = Map[CallerField].get<std::string>();
  Token.Issued = absl::FromUnixMillis(Map[IssuedField].get<std::int64_t>());
  Token.Expires = absl::FromUnixMillis(Map[ExpiresField].get<std::int64_t>());
  if (!readSeen(Map, Token))
    return std::nullopt;
  return Token;
}

std::string payloadOf(const SessionToken &Token) {
  json Map = {{SessionIdField, Token.SessionId},
              {CallerField, Token.Caller},
              {IssuedField, absl::ToUnixMillis(Token.Issued)},
              {ExpiresField, absl::ToUnixMillis(Token.Expires)},
              {SeenField, json::object()}};
  for (const auto &[Service, Version] : Token.Seen)
    Map[SeenField][Service] = Version;
  return cborOf(Map);
}

} // namespace

std::uint64_t SessionToken::seenVersion(absl::string_view Service) const {
  const auto It = Seen.find(Service);
  return It == Seen.end() ? 0 : It->second;
}

Result<SessionToken> SessionToken::withSeen(absl::string_view Service,
                                            std::uint64_t Version) const {
  if (Service.size() > MaxNameBytes)
    return fail(ErrorCode::InvalidArgument, "the service's name is too long");
  SessionToken Next = *this;
  const auto It = Next.Seen.find(Service);
  if (It != Next.Seen.end()) {
    It->second = std::max(It->second, Version);
    return Next;
  }
  if (Next.Seen.size() >= MaxSeenServices)
    return fail(ErrorCode::ResourceExhausted,
                "the session has seen too many services; open another one");
  Next.Seen.emplace(Service, Version);
  return Next;
}

SessionToken SessionToken::renewed(TimePoint Now, Duration Lifetime) const {
  SessionToken Next = *this;
  Next.Expires = std::max(Expires, toMillisecond(Now + Lifetime));
  return Next;
}

Result<SessionToken> openSession(absl::string_view Caller, TimePoint Now,
                                 Duration Lifetime, std::mt19937_64 &Engine) {
  if (Caller.size() > SessionToken::MaxNameBytes)
    return fail(ErrorCode::InvalidArgument, "the caller's name is too long",
                CallerField);
  SessionToken Token;
  const std::uint64_t High = Engine();
  const std::uint64_t Low = Engine();
  Token.SessionId = absl::StrCat(absl::Hex(High, absl::kZeroPad16),
                                 absl::Hex(Low, absl::kZeroPad16));
  Token.Caller = std::string(Caller);
  Token.Issued = toMillisecond(Now);
  Token.Expires = toMillisecond(Now + Lifetime);
  return Token;
}

std::string issueSession(const KeyRing &Keys, const SessionToken &Token,
                         TimePoint Now) {
  return signText(Keys, SignedKind::Session, payloadOf(Token), Now);
}

Result<SessionToken> verifySession(const KeyRing &Keys, absl::string_view Text,
                                   TimePoint Now) {
  BOOST_LEAF_AUTO(Payload, verifyText(Keys, SignedKind::Session, Text));
  std::optional<SessionToken> Token = tokenFromPayload(Payload);
  if (!Token)
    return failToken(TokenFault::Malformed, SignedKind::Session);
  if (Token->Expires <= Now)
    return failToken(TokenFault::Expired, SignedKind::Session);
  return *std::move(Token);
}

} // namespace quetzallead
