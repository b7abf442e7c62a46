#include "relay/RelayMessages.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "core/relay/RecordMerge.h"
#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <cmath>
#include <limits>

namespace quetzallead {

namespace http = boost::beast::http;

static absl::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

/// True for headers that apply to a single connection.
static bool isHopByHop(absl::string_view Name) {
  for (absl::string_view HopByHop :
       {"connection", "keep-alive", "transfer-encoding", "te", "trailer",
        "upgrade", "proxy-connection", "proxy-authenticate",
        "proxy-authorization"})
    if (absl::EqualsIgnoreCase(Name, HopByHop))
      return true;
  return false;
}

/// The connection options, in lower case: names of further hop-by-hop headers.
static std::vector<std::string>
parseConnectionOptions(const http::fields &Fields) {
  std::vector<std::string> Names;
  auto Range = Fields.equal_range(http::field::connection);
  for (auto It = Range.first; It != Range.second; ++It)
    for (absl::string_view Item : absl::StrSplit(view(It->value()), ','))
      Names.push_back(absl::AsciiStrToLower(absl::StripAsciiWhitespace(Item)));
  return Names;
}

/// Encodes the end-to-end headers of \p Fields except those in \p Excluded.
static std::string
endToEndHeaders(const http::fields &Fields,
                const std::vector<absl::string_view> &Excluded) {
  const std::vector<std::string> ConnectionOptions =
      parseConnectionOptions(Fields);
  std::string Out;
  for (const auto &Field : Fields) {
    const absl::string_view Name = view(Field.name_string());
    bool Skip = isHopByHop(Name);
    for (const std::string &Other : ConnectionOptions)
      Skip = Skip || absl::EqualsIgnoreCase(Name, Other);
    for (absl::string_view Other : Excluded)
      Skip = Skip || absl::EqualsIgnoreCase(Name, Other);
    if (!Skip)
      absl::StrAppend(&Out, Name, ": ", view(Field.value()), "\r\n");
  }
  return Out;
}

ForwardedRequest decodeRequest(HttpRequest &Request, const HeaderNames &Names,
                               TimePoint ArrivalTime) {
  ForwardedRequest Call;
  Call.ArrivalTime = ArrivalTime;
  Call.Method = std::string(view(Request.method_string()));
  Call.Target = std::string(view(Request.target()));
  Call.Host = std::string(view(Request[http::field::host]));
  Call.RequestId = std::string(view(Request[Names.RequestId]));
  double Millis = 0;
  const absl::string_view TimeLeft = view(Request[Names.RemainingTime]);
  if (absl::SimpleAtod(TimeLeft, &Millis) && Millis >= 0 && Millis < 1e9)
    Call.RemainingTime = absl::Milliseconds(Millis);
  Call.HasBody = Request.count(http::field::content_length) > 0 ||
                 Request.count(http::field::transfer_encoding) > 0;
  Call.Headers = endToEndHeaders(Request, {Names.RemainingTime,
                                           Names.TargetIncarnation, LinkHeader,
                                           "content-length", "expect", "host"});
  Call.Body = std::move(Request.body());
  return Call;
}

std::vector<std::string> takeHeader(std::string &Fields,
                                    absl::string_view Name) {
  std::vector<std::string> Values;
  std::string Kept;
  absl::string_view Rest = Fields;
  while (!Rest.empty()) {
    const std::size_t End = std::min(Rest.find("\r\n"), Rest.size() - 2) + 2;
    const absl::string_view Line = Rest.substr(0, End);
    Rest.remove_prefix(End);
    const std::size_t Colon = Line.find(':');
    if (absl::EqualsIgnoreCase(Line.substr(0, Colon), Name))
      Values.emplace_back(absl::StripAsciiWhitespace(Line.substr(Colon + 1)));
    else
      absl::StrAppend(&Kept, Line);
  }
  if (!Values.empty())
    Fields = std::move(Kept);
  return Values;
}

std::string encodeAttempt(const ForwardedRequest &Call,
                          const HeaderNames &Names, const std::string &ServerId,
                          Duration TimeLeft) {
  const std::int64_t Millis =
      std::max<std::int64_t>(1, absl::ToInt64Milliseconds(TimeLeft));
  std::string Out = absl::StrCat(
      Call.Method, " ", Call.Target, " HTTP/1.1\r\nHost: ", Call.Host, "\r\n",
      Call.Headers, Names.RemainingTime, ": ", Millis, "\r\n");
  absl::StrAppend(&Out, Names.TargetIncarnation, ": ", ServerId, "\r\n");
  if (!Call.Account.empty())
    absl::StrAppend(&Out, Names.Account, ": ", Call.Account, "\r\n");
  if (Call.HasBody)
    absl::StrAppend(&Out, "Content-Length: ", Call.Body.size(), "\r\n");
  absl::StrAppend(&Out, "\r\n", Call.Body);
  return Out;
}

static std::optional<LoadReport> decodeLoadReport(absl::string_view Text) {
  const std::vector<absl::string_view> Items = absl::StrSplit(Text, ',');
  LoadReport Load;
  if (Items.size() == 3 && absl::SimpleAtoi(Items[0], &Load.Busy) &&
      absl::SimpleAtoi(Items[1], &Load.Queued) &&
      absl::SimpleAtoi(Items[2], &Load.Slots))
    return Load;
  return std::nullopt;
}

bool saysLeaving(const HttpResponseHead &Head, const HeaderNames &Names) {
  const auto Range = Head.equal_range(Names.Leaving);
  return std::any_of(Range.first, Range.second, [](const auto &Field) {
    return absl::StripAsciiWhitespace(view(Field.value())) == "1";
  });
}

Duration requestedPause(const HttpResponseHead &Head) {
  if (Head.result() != http::status::service_unavailable)
    return absl::ZeroDuration();
  const auto Range = Head.equal_range(http::field::retry_after);
  if (Range.first == Range.second)
    return absl::ZeroDuration();
  Duration Longest = -absl::InfiniteDuration();
  for (auto It = Range.first; It != Range.second; ++It) {
    double Seconds = 0;
    if (absl::SimpleAtod(absl::StripAsciiWhitespace(view(It->value())),
                         &Seconds) &&
        Seconds >= 0 && std::isfinite(Seconds))
      Longest = std::max(Longest, absl::Seconds(Seconds));
  }
  return Longest;
}

std::optional<double> namedLimit(const HttpResponseHead &Head,
                                 const HeaderNames &Names) {
  const auto Range = Head.equal_range(Names.Limit);
  if (Range.first == Range.second)
    return std::nullopt;
  double Lowest = std::numeric_limits<double>::infinity();
  for (auto It = Range.first; It != Range.second; ++It) {
    double PerSecond = 0;
    if (absl::SimpleAtod(absl::StripAsciiWhitespace(view(It->value())),
                         &PerSecond) &&
        PerSecond >= 0)
      Lowest = std::min(Lowest, PerSecond);
  }
  return std::isfinite(Lowest) ? Lowest : -1;
}

std::optional<Duration> warmUpLeft(const HttpResponseHead &Head,
                                   const HeaderNames &Names) {
  static constexpr double MaxMillis = 24.0 * 3600 * 1000;
  const auto Range = Head.equal_range(Names.WarmUpLeft);
  std::optional<Duration> Longest;
  for (auto It = Range.first; It != Range.second; ++It) {
    double Millis = 0;
    if (absl::SimpleAtod(absl::StripAsciiWhitespace(view(It->value())),
                         &Millis) &&
        Millis >= 0 && Millis <= MaxMillis)
      Longest = std::max(Longest.value_or(absl::ZeroDuration()),
                         absl::Milliseconds(Millis));
  }
  return Longest;
}

/// True for a success that no backend server can have produced.
static bool isUnstampedSuccess(const HttpResponse &Response,
                               const HeaderNames &Names) {
  return Response.result_int() / 100 == 2 && Response[Names.Stamp].empty();
}

AttemptEnd decodeExchangeResult(const HttpExchangeResult &End,
                                const HeaderNames &Names) {
  AttemptEnd Out;
  Out.Result = End.Result;
  Out.Defect = End.Defect;
  if (End.Result != AttemptResult::Answered)
    return Out;
  HttpResponse &Response = *End.Response;
  Out.Load = decodeLoadReport(view(Response[Names.Load]));
  if (Response.result() == http::status::misdirected_request) {
    Out.Result = AttemptResult::Draining;
    return Out;
  }
  if (Response.count(Names.NotExecuted) > 0) {
    Out.Result = AttemptResult::Shed;
    return Out;
  }
  if (isUnstampedSuccess(Response, Names)) {
    Out.Result = AttemptResult::BadReply;
    Out.Defect = ResponseDefect::Unstamped;
    return Out;
  }
  Out.Response = decodeResponse(Response, Names);
  return Out;
}

std::shared_ptr<BackendResponse> decodeResponse(HttpResponse &Response,
                                                const HeaderNames &Names) {
  auto Answer = std::make_shared<BackendResponse>();
  Answer->Status = Response.result_int();
  Answer->Reason = std::string(view(Response.reason()));
  // An instance that forwards to this one would take the announcements for
  // those of this instance.
  Answer->Headers = endToEndHeaders(
      Response, {"content-length", LinkHeader, Names.Leaving, Names.Limit});
  std::uint64_t Length = 0;
  if (absl::SimpleAtoi(view(Response[http::field::content_length]), &Length))
    Answer->HeadContentLength = Length;
  Answer->Stamp = std::string(view(Response[Names.Stamp]));
  Answer->Body = std::move(Response.body());
  return Answer;
}

static std::string statusLine(unsigned Status, absl::string_view Reason) {
  return absl::StrCat("HTTP/1.1 ", Status, " ", Reason, "\r\n");
}

std::string encodeStatusResponse(unsigned Status, Duration RetryAfter,
                                 bool KeepOpen) {
  const auto Reason = http::obsolete_reason(http::int_to_status(Status));
  std::string Out = statusLine(Status, view(Reason));
  if (RetryAfter > absl::ZeroDuration())
    absl::StrAppendFormat(&Out, "Retry-After: %.3f\r\n",
                          absl::ToDoubleSeconds(RetryAfter));
  if (!KeepOpen)
    absl::StrAppend(&Out, "Connection: close\r\n");
  absl::StrAppend(&Out, "Content-Length: 0\r\n\r\n");
  return Out;
}

std::string encodeMetricsResponse(absl::string_view Text, bool KeepOpen) {
  return absl::StrCat(statusLine(200, "OK"),
                      "Content-Type: text/plain; version=0.0.4\r\n",
                      KeepOpen ? "" : "Connection: close\r\n",
                      "Content-Length: ", Text.size(), "\r\n\r\n", Text);
}

static std::string encodeRelayed(const BackendResponse &Answer,
                                 bool HeadRequest, bool KeepOpen) {
  std::string Out = statusLine(Answer.Status, Answer.Reason);
  absl::StrAppend(&Out, Answer.Headers);
  if (!KeepOpen)
    absl::StrAppend(&Out, "Connection: close\r\n");
  const bool Bodiless = Answer.Status == 204 || Answer.Status == 304;
  if (HeadRequest || Bodiless) {
    if (HeadRequest && Answer.HeadContentLength)
      absl::StrAppend(&Out, "Content-Length: ", *Answer.HeadContentLength,
                      "\r\n");
    return absl::StrCat(Out, "\r\n");
  }
  absl::StrAppend(&Out, "Content-Length: ", Answer.Body.size(), "\r\n\r\n",
                  Answer.Body);
  return Out;
}

static std::string encodeMerged(const RelayResult &Verdict,
                                std::size_t MaxRecords,
                                const HeaderNames &Names, bool KeepOpen) {
  std::vector<absl::string_view> Parts;
  std::string Stamps;
  for (const auto &Answer : Verdict.Responses) {
    Parts.emplace_back(Answer->Body);
    absl::StrAppend(&Stamps, Stamps.empty() ? "" : ", ", Answer->Stamp);
  }
  const std::string Body = mergeGreatestRecords(Parts, MaxRecords);
  std::string Out = statusLine(200, "OK");
  absl::StrAppend(&Out, Names.PartStamps, ": ", Stamps, "\r\n",
                  Names.MissingParts, ": ", Verdict.MissingParts, "\r\n");
  if (!KeepOpen)
    absl::StrAppend(&Out, "Connection: close\r\n");
  absl::StrAppend(&Out, "Content-Length: ", Body.size(), "\r\n\r\n", Body);
  return Out;
}

std::string encodeResponse(const RelayResult &Verdict, std::size_t MaxRecords,
                           const HeaderNames &Names, bool HeadRequest,
                           bool KeepOpen) {
  switch (Verdict.Outcome) {
  case RelayOutcome::Relayed:
    return encodeRelayed(*Verdict.Responses[0], HeadRequest, KeepOpen);
  case RelayOutcome::Merged:
    return encodeMerged(Verdict, MaxRecords, Names, KeepOpen);
  case RelayOutcome::Rejected:
  case RelayOutcome::Unservable:
    return encodeStatusResponse(503, Verdict.RetryAfter, KeepOpen);
  case RelayOutcome::TimedOut:
    return encodeStatusResponse(504, absl::ZeroDuration(), KeepOpen);
  case RelayOutcome::Failed:
  case RelayOutcome::CallerDisconnected:
    break;
  }
  return encodeStatusResponse(502, absl::ZeroDuration(), KeepOpen);
}

} // namespace quetzallead
