#include "transport/platform/PlatformReplies.h"
#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "core/base/JsonText.h"
#include "quetzallead/Error.h"
#include "transport/http/HttpClient.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;

static constexpr int StatusOk = 200;
static constexpr int StatusNotFound = 404;
static constexpr int FirstClientError = 400;
static constexpr int FirstServerError = 500;
static constexpr std::size_t MaxReplyBytes = std::size_t{16} << 20;
static constexpr int MaxPort = 65535;

static std::string describe(const HttpOutcome &Http) {
  if (Http.Failure == TransferFailure::None)
    return absl::StrCat("status ", Http.Response.Status);
  return absl::StrCat(nameOf(TransferFailureNames, Http.Failure), ": ",
                      Http.Detail);
}

static bool isAnswer(const HttpOutcome &Http, int Status) {
  return Http.Failure == TransferFailure::None &&
         Http.Response.Status == Status;
}

static std::uint64_t replyIndex(const HttpOutcome &Http) {
  const std::string *Text = Http.Response.Headers.find("X-Consul-Index");
  std::uint64_t Index = 0;
  if (!Text || !absl::SimpleAtoi(*Text, &Index))
    return 0;
  return Index;
}

/// The body as JSON; null if it is none.
static json bodyJson(const HttpOutcome &Http) {
  JsonLimits Limits;
  Limits.MaxBytes = MaxReplyBytes;
  auto Outcome =
      capture([&] { return parseJsonText(Http.Response.Body, Limits); });
  if (std::holds_alternative<Error>(Outcome))
    return json();
  return std::get<json>(std::move(Outcome));
}

/// The string under \p Key; empty if absent or of another type.
static std::string stringAt(const json &Object, const char *Key) {
  auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_string())
    return std::string();
  return Found->get<std::string>();
}

static bool readEntry(const json &Row, KvEntry &Entry) {
  if (!Row.is_object())
    return false;
  auto Index = Row.find("ModifyIndex");
  if (Index == Row.end() || !Index->is_number_unsigned())
    return false;
  Entry.Key = stringAt(Row, "Key");
  Entry.ModifyIndex = Index->get<std::uint64_t>();
  Entry.Session = stringAt(Row, "Session");
  return !Entry.Key.empty() &&
         absl::Base64Unescape(stringAt(Row, "Value"), &Entry.Value);
}

KvReply readKvReply(const HttpOutcome &Http) {
  KvReply Reply;
  Reply.Index = replyIndex(Http);
  if (isAnswer(Http, StatusNotFound)) {
    Reply.Outcome = ReadOutcome::Answered;
    return Reply;
  }
  if (!isAnswer(Http, StatusOk)) {
    Reply.Detail = describe(Http);
    return Reply;
  }
  json Rows = bodyJson(Http);
  KvEntry Entry;
  if (!Rows.is_array() || Rows.size() != 1 || !readEntry(Rows[0], Entry)) {
    Reply.Outcome = ReadOutcome::Malformed;
    Reply.Detail = "not one entry";
    return Reply;
  }
  Reply.Outcome = ReadOutcome::Answered;
  Reply.Entry = std::move(Entry);
  return Reply;
}

static bool readCatalogEntry(const json &Row, CatalogEntry &Entry) {
  if (!Row.is_object())
    return false;
  Entry.Node = stringAt(Row, "Node");
  std::string Host = stringAt(Row, "ServiceAddress");
  if (Host.empty())
    Host = stringAt(Row, "Address");
  auto Port = Row.find("ServicePort");
  if (Entry.Node.empty() || Host.empty() || Port == Row.end() ||
      !Port->is_number_unsigned() || Port->get<std::uint64_t>() > MaxPort)
    return false;
  Entry.Address = absl::StrCat(Host, ":", Port->get<std::uint64_t>());
  auto Meta = Row.find("ServiceMeta");
  if (Meta == Row.end() || !Meta->is_object())
    return true;
  Entry.Zone = stringAt(*Meta, "zone");
  Entry.Leaving = stringAt(*Meta, "state") == "leaving";
  return true;
}

CatalogReply readCatalogReply(const HttpOutcome &Http) {
  CatalogReply Reply;
  Reply.Index = replyIndex(Http);
  if (!isAnswer(Http, StatusOk)) {
    Reply.Detail = describe(Http);
    return Reply;
  }
  json Rows = bodyJson(Http);
  Reply.Outcome =
      Rows.is_array() ? ReadOutcome::Answered : ReadOutcome::Malformed;
  for (const json &Row : Rows) {
    CatalogEntry Entry;
    if (Reply.Outcome == ReadOutcome::Answered && readCatalogEntry(Row, Entry))
      Reply.Entries.push_back(std::move(Entry));
    else
      Reply.Outcome = ReadOutcome::Malformed;
  }
  if (Reply.Outcome == ReadOutcome::Malformed) {
    Reply.Entries.clear();
    Reply.Detail = "not a list of nodes";
  }
  return Reply;
}

/// What a write came to whose answer is not status 200. A server error may
/// come after the write took effect; a client error is given instead of it.
static WriteOutcome failedWrite(const HttpOutcome &Http) {
  switch (Http.Failure) {
  case TransferFailure::NotSent:
  case TransferFailure::TimedOutNotSent:
    return WriteOutcome::Unavailable;
  case TransferFailure::None:
    break;
  default:
    return WriteOutcome::Unknown;
  }
  int Status = Http.Response.Status;
  if (Status >= FirstClientError && Status < FirstServerError)
    return WriteOutcome::Unavailable;
  return WriteOutcome::Unknown;
}

WriteReply readCasReply(const HttpOutcome &Http) {
  if (!isAnswer(Http, StatusOk))
    return WriteReply{failedWrite(Http), describe(Http)};
  absl::string_view Body = absl::StripAsciiWhitespace(Http.Response.Body);
  if (Body == "true")
    return WriteReply{WriteOutcome::Applied, ""};
  if (Body == "false")
    return WriteReply{WriteOutcome::Refused, "compared unequal"};
  return WriteReply{WriteOutcome::Unknown, "neither true nor false"};
}

WriteReply readPutReply(const HttpOutcome &Http) {
  if (isAnswer(Http, StatusOk))
    return WriteReply{WriteOutcome::Applied, ""};
  if (isAnswer(Http, StatusNotFound))
    return WriteReply{WriteOutcome::Refused, "no such thing"};
  return WriteReply{failedWrite(Http), describe(Http)};
}

SessionReply readSessionReply(const HttpOutcome &Http) {
  if (!isAnswer(Http, StatusOk))
    return SessionReply{failedWrite(Http), "", describe(Http)};
  json Body = bodyJson(Http);
  std::string Id = Body.is_object() ? stringAt(Body, "ID") : std::string();
  if (Id.empty())
    return SessionReply{WriteOutcome::Unknown, "", "no session in the answer"};
  return SessionReply{WriteOutcome::Applied, std::move(Id), ""};
}

} // namespace quetzallead
