#include "relay/LinkMessages.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include <map>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace quetzallead {

/// Bounds what another instance says of the number of instances.
static constexpr std::uint64_t MaxSharers = 100000;
/// Likewise for the attempts of a request.
static constexpr std::uint64_t MaxSharedAttempts = 1000;
/// Likewise for the time since the store served a call.
static constexpr std::uint64_t MaxStoreAgeMs = 3'600'000;

static constexpr char StoreAgeField[] = "store_age_ms";
/// Field of a home that the store has told which zones are evacuated, and the
/// prefix of a field for each of them: fields are numbers, so that the zone, in
/// hexadecimal, is part of the name.
static constexpr char ZonesKnownField[] = "zones_known";
static constexpr char EvacuatedField[] = "evacuated:";

static absl::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

/// HMAC-SHA256 in hexadecimal over \p Items, each preceded by its length, so
/// that no two lists of items give the same message.
static std::string sign(const std::string &Secret,
                        std::initializer_list<absl::string_view> Items) {
  std::string Message;
  for (absl::string_view Item : Items)
    absl::StrAppend(&Message, Item.size(), ":", Item);
  unsigned char Digest[EVP_MAX_MD_SIZE];
  unsigned int Length = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Message.data()), Message.size(),
       Digest, &Length);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char *>(Digest), Length));
}

static bool equalInConstantTime(absl::string_view A, absl::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

/// The fields of a link header without its code, and the code.
struct SignedFields {
  absl::string_view Signed;
  absl::string_view Code;
  std::map<absl::string_view, std::uint64_t> Numbers;
};

/// Parses "name=number;...;mac=code".
static std::optional<SignedFields> parseFields(absl::string_view Text) {
  static constexpr absl::string_view CodeField = ";mac=";
  SignedFields Out;
  const std::size_t At = Text.rfind(CodeField);
  if (At == absl::string_view::npos)
    return std::nullopt;
  Out.Signed = Text.substr(0, At);
  Out.Code = Text.substr(At + CodeField.size());
  for (absl::string_view Field : absl::StrSplit(Out.Signed, ';')) {
    const std::pair<absl::string_view, absl::string_view> Pair =
        absl::StrSplit(Field, absl::MaxSplits('=', 1));
    if (!absl::SimpleAtoi(Pair.second, &Out.Numbers[Pair.first]))
      return std::nullopt;
  }
  return Out;
}

std::string encodeLinkRequest(const ForwardedRequest &Call,
                              const HeaderNames &Names,
                              const LinkRequestInfo &Info, Duration Remaining,
                              const std::string &Secret) {
  const std::string Millis = absl::StrCat(
      std::max<std::int64_t>(1, absl::ToInt64Milliseconds(Remaining)));
  const std::string Fields =
      absl::StrCat("age_us=", absl::ToInt64Microseconds(Info.Age),
                   ";transit_us=", absl::ToInt64Microseconds(Info.TransitTime),
                   ";sheet=", Info.SheetVersion,
                   ";repeated=", static_cast<int>(Info.Repeated),
                   ";held_back=", static_cast<int>(Info.LastAttemptHeldBack),
                   ";once=", static_cast<int>(Info.RunsOnce),
                   ";attempts=", Info.SharedAttempts,
                   ";grant=", static_cast<int>(Info.GrantsAttempts),
                   ";passed_back=", static_cast<int>(Info.PassedBack),
                   ";wants_sheet=", static_cast<int>(Info.WantsSheet),
                   ";update=", static_cast<int>(Info.TakesSheetUpdate),
                   ";crashes=", static_cast<int>(Info.ExchangesCrashes),
                   ";accounts=", static_cast<int>(Info.AsksForTokens));
  const std::string Code =
      sign(Secret, {Fields, Call.Method, Call.Target, Call.Host, Call.RequestId,
                    Millis, Call.Body});
  std::string Out = absl::StrCat(
      Call.Method, " ", Call.Target, " HTTP/1.1\r\nHost: ", Call.Host, "\r\n",
      Call.Headers, Names.RemainingTime, ": ", Millis, "\r\n", LinkHeader, ": ",
      Fields, ";mac=", Code, "\r\n");
  if (!Call.AccountKey.empty())
    absl::StrAppend(&Out, Names.AccountKey, ": ", Call.AccountKey, "\r\n");
  if (Call.HasBody)
    absl::StrAppend(&Out, "Content-Length: ", Call.Body.size(), "\r\n");
  absl::StrAppend(&Out, "\r\n", Call.Body);
  return Out;
}

std::optional<LinkRequestInfo> decodeLinkRequest(const HttpRequest &Request,
                                                 const HeaderNames &Names,
                                                 const std::string &Secret) {
  const auto Fields = parseFields(view(Request[LinkHeader]));
  if (!Fields || Secret.empty())
    return std::nullopt;
  const std::string Code =
      sign(Secret, {Fields->Signed, view(Request.method_string()),
                    view(Request.target()),
                    view(Request[boost::beast::http::field::host]),
                    view(Request[Names.RequestId]),
                    view(Request[Names.RemainingTime]), Request.body()});
  if (!equalInConstantTime(Code, Fields->Code))
    return std::nullopt;
  auto Number = [&](absl::string_view Name) {
    auto Found = Fields->Numbers.find(Name);
    return Found != Fields->Numbers.end() ? Found->second : 0;
  };
  LinkRequestInfo Out;
  Out.Age = absl::Microseconds(Number("age_us"));
  Out.TransitTime = absl::Microseconds(Number("transit_us"));
  Out.SheetVersion = Number("sheet");
  Out.Repeated = Number("repeated") != 0;
  Out.LastAttemptHeldBack = Number("held_back") != 0;
  Out.RunsOnce = Number("once") != 0;
  Out.SharedAttempts = static_cast<int>(
      std::min<std::uint64_t>(Number("attempts"), MaxSharedAttempts));
  Out.GrantsAttempts = Number("grant") != 0;
  Out.PassedBack = Number("passed_back") != 0;
  Out.WantsSheet = Number("wants_sheet") != 0;
  Out.TakesSheetUpdate = Number("update") != 0;
  Out.ExchangesCrashes = Number("crashes") != 0;
  Out.AsksForTokens = Number("accounts") != 0;
  return Out;
}

/// The fields of the link header of a claim.
static constexpr char ClaimFields[] = "claim=1";

std::string encodeAttemptClaim(const std::string &RequestId,
                               const std::string &Secret) {
  return absl::StrCat(
      "HTTP/1.1 102 Processing\r\n", LinkHeader, ": ", ClaimFields,
      ";mac=", sign(Secret, {ClaimFields, RequestId}), "\r\n\r\n");
}

bool isAttemptClaim(const HttpResponseHead &Head, const std::string &RequestId,
                    const std::string &Secret) {
  const auto Fields = parseFields(view(Head[LinkHeader]));
  return Fields && !Secret.empty() && Fields->Signed == ClaimFields &&
         equalInConstantTime(sign(Secret, {Fields->Signed, RequestId}),
                             Fields->Code);
}

std::string encodeAttemptGrant(const ForwardedRequest &Call,
                               const HeaderNames &Names,
                               const std::string &Secret) {
  ForwardedRequest Message;
  Message.Method = "POST";
  Message.Target = LinkAttemptsTarget;
  Message.Host = Call.Host;
  Message.RequestId = Call.RequestId;
  Message.Headers = absl::StrCat(Names.RequestId, ": ", Call.RequestId, "\r\n");
  LinkRequestInfo Info;
  Info.GrantsAttempts = true;
  return encodeLinkRequest(Message, Names, Info, absl::ZeroDuration(), Secret);
}

/// Separates the status line of an encoded response from its header fields.
static constexpr char LineEnd[] = "\r\n";

/// The status code of an encoded response.
static absl::string_view statusCode(absl::string_view Response) {
  static constexpr std::size_t Start = sizeof("HTTP/1.1");
  static constexpr std::size_t Digits = 3;
  return Response.substr(Start, Digits);
}

std::string addLinkHeader(std::string Response, const std::string &RequestId,
                          const LinkResponseInfo &Info,
                          const std::string &Secret) {
  std::string Fields = absl::StrCat(
      "sheet=", Info.SheetVersion,
      ";store_lost=", static_cast<int>(Info.StoreLost),
      ";sharers=", Info.Sharers, ";crash_digest=", Info.CrashDigest,
      ";elsewhere=", static_cast<int>(Info.TryElsewhere),
      ";once=", static_cast<int>(Info.RunsOnce),
      ";checks_repeats=", static_cast<int>(Info.ChecksRepeats),
      ";servers_lost=", static_cast<int>(Info.ServersLost),
      ";abandoned=", static_cast<int>(Info.Abandoned));
  if (Info.StoreAge)
    absl::StrAppend(&Fields, ";", StoreAgeField, "=",
                    absl::ToInt64Milliseconds(*Info.StoreAge));
  if (Info.KnowsZones)
    absl::StrAppend(&Fields, ";", ZonesKnownField, "=1");
  for (const std::string &Zone : Info.EvacuatedZones)
    absl::StrAppend(&Fields, ";", EvacuatedField, absl::BytesToHexString(Zone),
                    "=1");
  const std::size_t HeadEnd = Response.find("\r\n\r\n") + 4;
  const std::string Code =
      sign(Secret, {Fields, RequestId, statusCode(Response),
                    absl::string_view(Response).substr(HeadEnd)});
  const std::size_t StatusEnd = Response.find(LineEnd) + sizeof(LineEnd) - 1;
  Response.insert(StatusEnd, absl::StrCat(LinkHeader, ": ", Fields,
                                          ";mac=", Code, LineEnd));
  return Response;
}

std::string encodeLinkBody(absl::string_view Body, bool KeepOpen) {
  return absl::StrCat("HTTP/1.1 200 OK\r\n",
                      KeepOpen ? "" : "Connection: close\r\n",
                      "Content-Length: ", Body.size(), "\r\n\r\n", Body);
}

std::optional<LinkResponseInfo> decodeLinkResponse(const HttpResponse &Response,
                                                   const std::string &RequestId,
                                                   const std::string &Secret) {
  const auto Fields = parseFields(view(Response[LinkHeader]));
  if (!Fields || Secret.empty())
    return std::nullopt;
  if (!equalInConstantTime(
          sign(Secret, {Fields->Signed, RequestId,
                        absl::StrCat(Response.result_int()), Response.body()}),
          Fields->Code))
    return std::nullopt;
  auto Number = [&](absl::string_view Name) {
    auto Found = Fields->Numbers.find(Name);
    return Found != Fields->Numbers.end() ? Found->second : 0;
  };
  LinkResponseInfo Out;
  Out.SheetVersion = Number("sheet");
  Out.StoreLost = Number("store_lost") != 0;
  Out.CrashDigest = Number("crash_digest");
  Out.Sharers =
      static_cast<int>(std::min<std::uint64_t>(Number("sharers"), MaxSharers));
  Out.TryElsewhere = Number("elsewhere") != 0;
  Out.RunsOnce = Number("once") != 0;
  Out.ChecksRepeats = Number("checks_repeats") != 0;
  Out.ServersLost = Number("servers_lost") != 0;
  Out.Abandoned = Number("abandoned") != 0;
  if (Fields->Numbers.count(StoreAgeField) != 0)
    Out.StoreAge = absl::Milliseconds(
        std::min<std::uint64_t>(Number(StoreAgeField), MaxStoreAgeMs));
  Out.KnowsZones = Number(ZonesKnownField) != 0;
  for (const auto &[Name, Value] : Fields->Numbers)
    if (absl::StartsWith(Name, EvacuatedField))
      Out.EvacuatedZones.insert(
          absl::HexStringToBytes(absl::StripPrefix(Name, EvacuatedField)));
  return Out;
}

} // namespace quetzallead
