#include "daemon/BackendCodec.h"
#include "absl/strings/str_cat.h"
#include "core/base/JsonText.h"
#include "transport/http/HttpClient.h"

namespace quetzallead {

using nlohmann::json;

/// Statuses of the backend interface, see docs/PROTOCOLS.md.
static constexpr int StatusOk = 200;
static constexpr int StatusConflict = 409;
static constexpr int StatusTooMany = 429;
static constexpr int StatusCancelled = 499;
static constexpr int StatusUnavailable = 503;
static constexpr int StatusTimeout = 504;

std::string encodeSubRequest(const SubRequestTemplate &Template,
                             const std::string &Id, std::uint64_t Version) {
  return absl::StrCat("{", Template.Members, "\"version\":", Version,
                      ",\"id\":\"", Id, "\"}");
}

static std::uint64_t unsignedField(const json &Body, const char *Key) {
  auto It = Body.find(Key);
  if (It == Body.end() || !It->is_number_unsigned())
    return 0;
  return It->get<std::uint64_t>();
}

static std::string textField(const json &Body, const char *Key) {
  auto It = Body.find(Key);
  if (It == Body.end() || !It->is_string())
    return std::string();
  return It->get<std::string>();
}

static std::optional<LoadReport> readLoad(const json &Body) {
  auto It = Body.find("load");
  if (It == Body.end() || !It->is_object())
    return std::nullopt;
  LoadReport Load;
  Load.Slots = static_cast<int>(unsignedField(*It, "slots"));
  Load.Busy = static_cast<int>(unsignedField(*It, "busy"));
  Load.Queued = static_cast<int>(unsignedField(*It, "queued"));
  return Load;
}

static AttemptResult resultOf(TransferFailure Failure) {
  switch (Failure) {
  case TransferFailure::NotSent:
  case TransferFailure::TimedOutNotSent:
    return AttemptResult::NotSent;
  case TransferFailure::TimedOut:
    return AttemptResult::TimedOut;
  case TransferFailure::Cancelled:
    return AttemptResult::Cancelled;
  case TransferFailure::TooLarge:
  case TransferFailure::BadResponse:
    return AttemptResult::BadReply;
  default:
    return AttemptResult::Lost;
  }
}

static AttemptResult refusalOf(int Status, const std::string &Word) {
  if (Status == StatusConflict)
    return AttemptResult::WrongVersion;
  if (Status == StatusCancelled)
    return AttemptResult::Cancelled;
  if (Status == StatusTimeout && Word == "deadline")
    return AttemptResult::Expired;
  if (Status != StatusTooMany && Status != StatusUnavailable)
    return AttemptResult::BadReply;
  if (Word == "draining")
    return AttemptResult::Draining;
  if (Word == "starting")
    return AttemptResult::Starting;
  if (Word == "shed")
    return AttemptResult::Shed;
  return AttemptResult::BadReply;
}

static bool readResult(const json &Body, bool WantsCount, SubReply &Reply) {
  Reply.Taken.Epoch = unsignedField(Body, "epoch");
  Reply.Taken.Version = unsignedField(Body, "version");
  std::uint64_t Newest = unsignedField(Body, "newest");
  if (Newest >= Reply.Taken.Version)
    Reply.Held =
        HeldVersions{Reply.Taken.Epoch, unsignedField(Body, "oldest"), Newest};
  Reply.From = textField(Body, "from");
  Reply.To = textField(Body, "to");
  if (Reply.Taken.Version == 0 || !Body.contains("from") ||
      !Body.contains("to"))
    return false;
  if (WantsCount) {
    auto Count = Body.find("count");
    if (Count == Body.end() || !Count->is_number_unsigned())
      return false;
    Reply.Count = Count->get<std::uint64_t>();
    return true;
  }
  auto Rows = Body.find("rows");
  return Rows != Body.end() && Rows->is_array();
}

DecodedReply decodeReply(const HttpOutcome &Outcome, const std::string &Id,
                         bool WantsCount) {
  DecodedReply Out;
  if (Outcome.Failure != TransferFailure::None) {
    Out.Result = resultOf(Outcome.Failure);
    Out.Detail = Outcome.Detail;
    return Out;
  }
  const std::string *Echo = Outcome.Response.Headers.find("X-Request-Id");
  if (Echo == nullptr || *Echo != Id) {
    Out.Detail = "reply to another request";
    return Out;
  }
  if (!nestsWithin(Outcome.Response.Body, MaxReplyDepth)) {
    Out.Detail = "reply is nested too deep";
    return Out;
  }
  json Body = json::parse(Outcome.Response.Body, nullptr,
                          /*allow_exceptions=*/false);
  if (!Body.is_object() || textField(Body, "id") != Id) {
    Out.Detail = "malformed reply, or for another request";
    return Out;
  }
  Out.Load = readLoad(Body);
  if (Outcome.Response.Status != StatusOk) {
    std::string Word = textField(Body, "error");
    Out.Result = refusalOf(Outcome.Response.Status, Word);
    Out.Held = HeldVersions{unsignedField(Body, "epoch"),
                            unsignedField(Body, "oldest"),
                            unsignedField(Body, "newest")};
    Out.Detail = std::move(Word);
    return Out;
  }
  if (!readResult(Body, WantsCount, Out.Reply)) {
    Out.Detail = "reply lacks fields";
    return Out;
  }
  if (!WantsCount)
    Out.Reply.Rows = std::move(Body["rows"]);
  Out.Result = AttemptResult::Answered;
  return Out;
}

} // namespace quetzallead
