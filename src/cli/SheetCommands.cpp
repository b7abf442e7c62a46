#include "cli/SheetCommands.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "cli/RemoteCall.h"
#include "cli/Session.h"
#include "quetzallead/Sheet.h"
#include "quetzallead/SheetChange.h"
#include "quetzallead/SheetCodec.h"
#include "quetzallead/SheetDiff.h"
#include "runtime/FileText.h"
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <ostream>
#include <random>

namespace quetzallead {

using nlohmann::json;

static constexpr std::size_t MaxSheetBytes = std::size_t{4} << 20;
static constexpr Duration RetryPause = absl::Seconds(1);
static constexpr int StatusOk = 200;
static constexpr int StatusUnknown = 202;
static constexpr int StatusConflict = 409;
static constexpr int StatusUnavailable = 503;
static constexpr int FirstServerError = 500;

namespace {

/// A sheet with the revision that has it; 0 before the first.
struct RevisedSheet {
  std::uint64_t Revision = 0;
  Sheet Content;
};

} // namespace

static Result<Sheet> loadSheet(const std::string &Path) {
  Result<std::string> Text = readFileText(Path, MaxSheetBytes);
  if (!Text)
    return Text.error();
  return namingFile(Path, [&] { return parseSheet(Text.value()); });
}

ExitCode sheetCheck(Session &S) {
  auto Outcome = capture([&] { return loadSheet(S.Arguments[0]); });
  if (const auto *Failure = std::get_if<Error>(&Outcome))
    return complain(S, ExitCode::Refused, Failure->text());
  const auto &Content = std::get<Sheet>(Outcome);
  std::size_t Shards = 0;
  std::size_t Servers = 0;
  for (const ServiceSpec &Service : Content.Services) {
    Shards += Service.Shards.size();
    for (const ShardSpec &Shard : Service.Shards)
      Servers += Shard.Servers.size();
  }
  S.Out << S.Arguments[0] << ": " << Content.Services.size() << " services, "
        << Shards << " shards, " << Servers << " servers, digest "
        << sheetDigest(Content) << "\n";
  return ExitCode::Ok;
}

static Result<RevisedSheet> readInForce(const std::string &Body) {
  json Answer = json::parse(Body, nullptr, false);
  RevisedSheet InForce;
  if (!Answer.is_object() || !Answer.contains("revision") ||
      !Answer["revision"].is_number_unsigned())
    return fail(ErrorCode::InvalidArgument, "the answer has no revision");
  InForce.Revision = Answer["revision"].get<std::uint64_t>();
  if (InForce.Revision == 0)
    return InForce;
  Result<Sheet> Content = sheetFromJson(Answer["sheet"]);
  if (!Content)
    return Content.error();
  InForce.Content = std::move(Content.value());
  return InForce;
}

/// The sheet in force at the instance; complains and sets \p Code otherwise.
static std::optional<RevisedSheet> askInForce(Session &S, ExitCode &Code) {
  auto Call = capture([&] { return adminCall(S, "GET", "/v1/sheet"); });
  if (const auto *Failure = std::get_if<Error>(&Call)) {
    Code = complain(S, ExitCode::Usage, Failure->text());
    return std::nullopt;
  }
  HttpOutcome Http = callAndWait(S.Client, std::get<HttpCall>(Call));
  if (Http.Failure != TransferFailure::None ||
      Http.Response.Status != StatusOk) {
    Code = complainOf(S, S.Line.Admin, Http);
    return std::nullopt;
  }
  auto Outcome = capture([&] { return readInForce(Http.Response.Body); });
  if (const auto *Failure = std::get_if<Error>(&Outcome)) {
    Code = complain(S, ExitCode::Refused,
                    absl::StrCat(S.Line.Admin, ": ", Failure->text()));
    return std::nullopt;
  }
  return std::get<RevisedSheet>(std::move(Outcome));
}

static void printChanges(Session &S, const Sheet &Before, const Sheet &After) {
  std::vector<SheetChange> Changes = diffSheets(Before, After);
  for (const SheetChange &Change : Changes)
    S.Out << Change.text() << "\n";
  S.Out << Changes.size() << " changes\n";
}

ExitCode sheetDiff(Session &S) {
  auto After = capture([&] { return loadSheet(S.Arguments.back()); });
  if (const auto *Failure = std::get_if<Error>(&After))
    return complain(S, ExitCode::Refused, Failure->text());
  Sheet Before;
  if (S.Arguments.size() == 2) {
    auto First = capture([&] { return loadSheet(S.Arguments[0]); });
    if (const auto *Failure = std::get_if<Error>(&First))
      return complain(S, ExitCode::Refused, Failure->text());
    Before = std::get<Sheet>(std::move(First));
  } else {
    ExitCode Code = ExitCode::Ok;
    std::optional<RevisedSheet> InForce = askInForce(S, Code);
    if (!InForce)
      return Code;
    Before = std::move(InForce->Content);
  }
  printChanges(S, Before, std::get<Sheet>(After));
  return ExitCode::Ok;
}

static std::string makeSubmissionId() {
  constexpr int WordCount = 4;
  std::random_device Device;
  std::string Id = "s";
  for (int I = 0; I < WordCount; ++I)
    absl::StrAppend(&Id, absl::Hex(Device(), absl::kZeroPad8));
  return Id;
}

static std::string authorOf(const CommandLine &Line) {
  if (!Line.Author.empty())
    return Line.Author;
  const char *User = std::getenv("USER");
  return User ? User : "";
}

static std::string outcomeOf(const HttpOutcome &Http) {
  json Body = json::parse(Http.Response.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("outcome") ||
      !Body["outcome"].is_string())
    return std::string();
  return Body["outcome"].get<std::string>();
}

/// Says what came first, and what the submitted sheet would change now.
static ExitCode complainConflict(Session &S, const HttpOutcome &Http,
                                 const Sheet &Wanted) {
  complainOf(S, S.Line.Admin, Http);
  ExitCode Ignored = ExitCode::Ok;
  std::optional<RevisedSheet> InForce = askInForce(S, Ignored);
  if (!InForce)
    return ExitCode::Conflict;
  S.Out << "Revision " << InForce->Revision << " is in force; from it to "
        << S.Arguments[0] << ":\n";
  printChanges(S, InForce->Content, Wanted);
  return ExitCode::Conflict;
}

/// The end of a submission, if this answer tells it. \p Uncertain says
/// whether an earlier call of the same submission may have been carried out.
static std::optional<ExitCode> settledBy(Session &S, const HttpOutcome &Http,
                                         const Sheet &Wanted, bool Uncertain) {
  if (Http.Failure != TransferFailure::None) {
    if (wasNotSent(Http) && !Uncertain)
      return complainOf(S, S.Line.Admin, Http);
    return std::nullopt;
  }
  int Status = Http.Response.Status;
  if (Status == StatusOk) {
    printAnswer(S, Http.Response.Body);
    return ExitCode::Ok;
  }
  if (Status == StatusUnknown)
    return std::nullopt;
  if (Status == StatusConflict)
    return complainConflict(S, Http, Wanted);
  if (Status == StatusUnavailable && !Uncertain) {
    complainOf(S, S.Line.Admin, Http);
    return ExitCode::Unreachable;
  }
  if (Status < FirstServerError && (!Uncertain || !outcomeOf(Http).empty()))
    return complainOf(S, S.Line.Admin, Http);
  return std::nullopt;
}

static ExitCode complainUnknown(Session &S, const std::string &Id,
                                std::uint64_t Base) {
  S.Err << "quetzallead: it is not known whether the sheet was accepted.\n"
        << "To settle it, submit the same again, at any instance:\n"
        << "  quetzallead sheet submit " << S.Arguments[0] << " --id " << Id
        << " --base " << Base << " --author '" << authorOf(S.Line)
        << "' --reason '" << S.Line.Reason << "'\n"
        << "or look for the id in \"quetzallead audit\".\n";
  return ExitCode::Unknown;
}

static ExitCode submitUntilSettled(Session &S, const HttpCall &Call,
                                   const Sheet &Wanted, const std::string &Id,
                                   std::uint64_t Base) {
  // An id given by the operator may stand for a call that was carried out.
  bool Uncertain = !S.Line.SubmissionId.empty();
  Duration Waited;
  while (true) {
    HttpOutcome Http = callAndWait(S.Client, Call);
    if (std::optional<ExitCode> Code = settledBy(S, Http, Wanted, Uncertain))
      return *Code;
    Uncertain = true;
    Waited += Http.Elapsed + RetryPause;
    if (Waited >= S.Line.SettleTime)
      return complainUnknown(S, Id, Base);
    S.Err << "quetzallead: outcome unknown, asking again\n";
    S.Pause(RetryPause);
  }
}

static std::string submissionBody(const Session &S, const Sheet &Content,
                                  const std::string &Id, std::uint64_t Base) {
  json Body;
  Body["submission_id"] = Id;
  Body["base_revision"] = Base;
  Body["author"] = authorOf(S.Line);
  Body["reason"] = S.Line.Reason;
  Body["sheet"] = sheetToJson(Content);
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

ExitCode sheetSubmit(Session &S) {
  auto Loaded = capture([&] { return loadSheet(S.Arguments[0]); });
  if (const auto *Failure = std::get_if<Error>(&Loaded))
    return complain(S, ExitCode::Refused, Failure->text());
  if (S.Line.Reason.empty() || authorOf(S.Line).empty())
    return complain(S, ExitCode::Usage, "give --author and --reason");
  if (!S.Line.SubmissionId.empty() && !S.Line.BaseRevision)
    return complain(S, ExitCode::Usage, "give --base beside --id");
  std::uint64_t Base = S.Line.BaseRevision.value_or(0);
  if (!S.Line.BaseRevision) {
    ExitCode Code = ExitCode::Ok;
    std::optional<RevisedSheet> InForce = askInForce(S, Code);
    if (!InForce)
      return Code;
    Base = InForce->Revision;
  }
  auto Call = capture([&] { return adminCall(S, "POST", "/v1/sheet"); });
  if (const auto *Failure = std::get_if<Error>(&Call))
    return complain(S, ExitCode::Usage, Failure->text());
  std::string Id =
      S.Line.SubmissionId.empty() ? makeSubmissionId() : S.Line.SubmissionId;
  auto &Post = std::get<HttpCall>(Call);
  Post.Headers.add("Content-Type", "application/json");
  Post.Body = submissionBody(S, std::get<Sheet>(Loaded), Id, Base);
  return submitUntilSettled(S, Post, std::get<Sheet>(Loaded), Id, Base);
}

} // namespace quetzallead
