#include "daemon/CommandWire.h"
#include "core/base/Cbor.h"
#include "core/base/JsonText.h"
#include "daemon/BackendCodec.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;

static bool readText(const json &Map, const char *Key, std::string &Out) {
  auto It = Map.find(Key);
  if (It == Map.end() || !It->is_string())
    return false;
  Out = It->get<std::string>();
  return true;
}

static bool readNumber(const json &Map, const char *Key, std::int64_t &Out) {
  auto It = Map.find(Key);
  if (It == Map.end() || !It->is_number_integer())
    return false;
  Out = It->get<std::int64_t>();
  return true;
}

std::string encodeCommand(const CommandJob &Job, TimePoint Deadline,
                          TimePoint Now) {
  json Map;
  Map["request"] = Job.Context.RequestId;
  Map["trace"] = Job.Context.TraceParent;
  Map["urgency"] = static_cast<int>(Job.Context.Urgency);
  Map["service"] = Job.Service;
  Map["ticket"] = Job.Ticket;
  Map["session"] = Job.SessionId;
  Map["body"] = Job.Body;
  Map["left_ms"] = absl::ToInt64Milliseconds(Deadline - Now);
  return cborOf(Map);
}

std::optional<ForwardedCommand> decodeCommand(absl::string_view Bytes,
                                              TimePoint Now) {
  json Map = parseCbor(Bytes);
  if (!Map.is_object())
    return std::nullopt;
  ForwardedCommand Out;
  CommandJob &Job = Out.Job;
  std::int64_t Urgency = 0;
  std::int64_t LeftMillis = 0;
  bool Whole = readText(Map, "request", Job.Context.RequestId) &&
               readText(Map, "trace", Job.Context.TraceParent) &&
               readText(Map, "service", Job.Service) &&
               readText(Map, "ticket", Job.Ticket) &&
               readText(Map, "session", Job.SessionId) &&
               readText(Map, "body", Job.Body) &&
               readNumber(Map, "urgency", Urgency) &&
               readNumber(Map, "left_ms", LeftMillis);
  if (!Whole || Urgency < 0 || Urgency >= PriorityCount)
    return std::nullopt;
  Job.Context.Urgency = static_cast<Priority>(Urgency);
  Job.Context.Received = Now;
  Out.Deadline = Now + absl::Milliseconds(LeftMillis);
  auto Parsed = capture([&] { return parseCommandRequest(Job.Body); });
  auto *Request = std::get_if<CommandRequest>(&Parsed);
  if (Request == nullptr)
    return std::nullopt;
  Job.Request = std::move(*Request);
  return Out;
}

std::string encodeCommandAnswer(const CommandAnswer &Answer) {
  json Map;
  Map["status"] = nameOf(CommandStatusNames, Answer.Status);
  Map["run"] = nameOf(RunStateNames, Answer.State);
  Map["body"] = Answer.Body;
  Map["ticket"] = Answer.FreshTicket;
  return cborOf(Map);
}

std::optional<CommandAnswer> decodeCommandAnswer(absl::string_view Bytes) {
  json Map = parseCbor(Bytes);
  if (!Map.is_object())
    return std::nullopt;
  CommandAnswer Answer;
  std::string StatusName;
  std::string RunName;
  bool Whole = readText(Map, "status", StatusName) &&
               readText(Map, "run", RunName) &&
               readText(Map, "body", Answer.Body) &&
               readText(Map, "ticket", Answer.FreshTicket);
  auto Status = valueOf(CommandStatusNames, StatusName);
  auto Run = valueOf(RunStateNames, RunName);
  // What is nested deeper is copied level by level, on the stack.
  if (!Whole || !Status || !Run || !nestsWithin(Answer.Body, MaxReplyDepth))
    return std::nullopt;
  Answer.Status = *Status;
  Answer.State = *Run;
  return Answer;
}

} // namespace quetzallead
