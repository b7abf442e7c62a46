#include "core/config/SheetSettling.h"
#include "absl/strings/str_cat.h"
#include "core/config/AuditArchive.h"
#include "core/config/SheetAdoption.h"
#include "core/config/SheetHistory.h"
#include "core/config/SheetStep.h"
#include "quetzallead/SheetCodec.h"
#include "quetzallead/SheetDocumentCodec.h"
#include <algorithm>

namespace quetzallead {

namespace {

/// How a submission ends.
struct Verdict {
  SubmissionOutcome Outcome = SubmissionOutcome::Unknown;
  std::uint64_t Revision = 0;
  std::string Detail;
};

} // namespace

static void answer(SheetStep &Step, std::uint64_t Request,
                   const std::string &Id, const Verdict &End) {
  SheetAction::Answer Answer;
  Answer.Request = Request;
  Answer.SubmissionId = Id;
  Answer.Outcome = End.Outcome;
  Answer.Revision = End.Revision;
  Answer.Detail = End.Detail;
  Step.act(std::move(Answer));
}

static void answerAll(SheetStep &Step, PendingSubmission &Pending,
                      const Verdict &End) {
  for (std::uint64_t Request : Pending.Requests)
    answer(Step, Request, Pending.What.Id, End);
  Pending.Requests.clear();
}

static void settleFirst(SheetStep &Step, const Verdict &End) {
  answerAll(Step, Step.S.Queue.front(), End);
  Step.S.Queue.pop_front();
}

static bool sameSubmission(const PendingSubmission &Pending,
                           const Submission &What, const std::string &Digest) {
  return Pending.Digest == Digest &&
         Pending.What.BaseRevision == What.BaseRevision;
}

void receiveSubmission(SheetStep &Step, std::uint64_t Request,
                       const Submission &What) {
  SheetStoreState &S = Step.S;
  std::string Digest = sheetDigest(What.Content);
  auto Waiting = std::find_if(S.Queue.begin(), S.Queue.end(),
                              [&](const PendingSubmission &Pending) {
                                return Pending.What.Id == What.Id;
                              });
  if (Waiting != S.Queue.end() && !sameSubmission(*Waiting, What, Digest))
    return answer(Step, Request, What.Id,
                  {SubmissionOutcome::Rejected, heldRevision(S),
                   "the submission id stands for another sheet"});
  if (Waiting != S.Queue.end()) {
    Waiting->Requests.push_back(Request);
    Waiting->AnswerBy = Step.Now + S.Options.AnswerWithin;
    return;
  }
  if (S.Queue.size() >= S.Options.MaxQueue)
    return answer(Step, Request, What.Id,
                  {SubmissionOutcome::Unavailable, heldRevision(S),
                   "too many submissions wait at this instance"});
  PendingSubmission Pending;
  Pending.What = What;
  Pending.Digest = std::move(Digest);
  Pending.Requests.push_back(Request);
  Pending.AnswerBy = Step.Now + S.Options.AnswerWithin;
  Pending.GiveUpAt = Step.Now + S.Options.SettleWithin;
  S.Queue.push_back(std::move(Pending));
}

static std::optional<Verdict> verdictOf(const PendingSubmission &Pending,
                                        const SheetDocument &Stored) {
  if (const AuditEntry *Entry = findEntry(Stored, Pending.What.Id)) {
    if (Entry->Digest == Pending.Digest)
      return Verdict{SubmissionOutcome::Accepted, Entry->Revision, ""};
    return Verdict{SubmissionOutcome::Rejected, Stored.Revision,
                   "the submission id stands for another sheet"};
  }
  if (Stored.Digest == Pending.Digest)
    return Verdict{SubmissionOutcome::Unchanged, Stored.Revision, ""};
  if (Stored.Revision != Pending.What.BaseRevision)
    return Verdict{SubmissionOutcome::Conflict, Stored.Revision,
                   absl::StrCat("made from revision ",
                                Pending.What.BaseRevision, ", but revision ",
                                Stored.Revision, " is accepted")};
  return std::nullopt;
}

/// The document to be written for the first submission: the same as before if
/// the store has not moved since.
static std::shared_ptr<const SheetDocument>
buildFirst(SheetStep &Step, const SheetDocument &Base, std::uint64_t Index) {
  PendingSubmission &First = Step.S.Queue.front();
  if (First.Built && First.BuiltAtIndex == Index &&
      First.Built->Revision == Base.Revision + 1)
    return First.Built;
  First.Built = std::make_shared<const SheetDocument>(
      nextDocument(Base, First.What, archivedEntries(Step.S, Base), Step.Now));
  First.BuiltAtIndex = Index;
  return First.Built;
}

/// Writes the first submission; false if it is too large and was settled.
static bool writeFirst(SheetStep &Step, const SheetDocument &Base,
                       std::uint64_t Index) {
  std::shared_ptr<const SheetDocument> Next = buildFirst(Step, Base, Index);
  std::string Text = formatDocument(*Next);
  if (Text.size() > Step.S.Options.MaxDocumentBytes) {
    settleFirst(Step,
                {SubmissionOutcome::Rejected, Base.Revision,
                 absl::StrCat("the sheet is too large for the store: ",
                              Text.size(), " bytes with its audit, at most ",
                              Step.S.Options.MaxDocumentBytes)});
    return false;
  }
  writeDocument(Step, StoreCall::WriteSubmission, std::move(Next),
                std::move(Text), Index);
  return true;
}

void settleSubmissions(SheetStep &Step,
                       const std::shared_ptr<const SheetDocument> &Stored,
                       std::uint64_t Index) {
  static const SheetDocument Empty;
  const SheetDocument &Base = Stored ? *Stored : Empty;
  while (!Step.S.Queue.empty()) {
    std::optional<Verdict> End = verdictOf(Step.S.Queue.front(), Base);
    bool Accepted = End && End->Outcome == SubmissionOutcome::Accepted;
    if (!Accepted && mustHearPeers(Step, Base.Revision))
      return pauseStore(Step);
    if (End) {
      settleFirst(Step, *End);
      continue;
    }
    if (startArchiving(Step, Base))
      return;
    if (writeFirst(Step, Base, Index))
      return;
  }
}

void submissionWritten(SheetStep &Step, WriteOutcome Outcome) {
  SheetStoreState &S = Step.S;
  if (Outcome == WriteOutcome::Applied) {
    std::uint64_t Revision = S.Written->Revision;
    adoptDocument(Step, S.Written);
    S.Failures = 0;
    return settleFirst(Step, {SubmissionOutcome::Accepted, Revision, ""});
  }
  if (Outcome == WriteOutcome::Unknown)
    S.Queue.front().Uncertain = true;
  pauseStore(Step);
}

/// True while a write of the first submission is on its way.
static bool isBeingWritten(const SheetStoreState &S,
                           const PendingSubmission &Pending) {
  return S.Current == StoreCall::WriteSubmission &&
         &Pending == &S.Queue.front();
}

/// Answers one submission whose time has come; true if it is at an end.
static bool answerLate(SheetStep &Step, PendingSubmission &Pending) {
  bool Writing = isBeingWritten(Step.S, Pending);
  std::uint64_t Revision = heldRevision(Step.S);
  if (Pending.AnswerBy <= Step.Now && !Pending.Uncertain && !Writing) {
    answerAll(Step, Pending,
              {SubmissionOutcome::Unavailable, Revision,
               Step.S.StoreBehind
                   ? "the store holds an older revision, which is being mended"
                   : "the store could not be reached in time"});
    return true;
  }
  if (Pending.AnswerBy <= Step.Now)
    answerAll(Step, Pending,
              {SubmissionOutcome::Unknown, Revision,
               "the store's answer was lost; submit the same id again"});
  if (Pending.GiveUpAt > Step.Now || Writing)
    return false;
  SheetAction::Notice Notice;
  Notice.Kind = SheetAction::NoticeKind::SubmissionLost;
  Notice.Detail = Pending.What.Id;
  Step.act(std::move(Notice));
  return true;
}

void answerOverdue(SheetStep &Step) {
  std::deque<PendingSubmission> &Queue = Step.S.Queue;
  for (std::size_t I = 0; I < Queue.size();) {
    if (answerLate(Step, Queue[I]))
      Queue.erase(Queue.begin() + static_cast<std::ptrdiff_t>(I));
    else
      ++I;
  }
}

} // namespace quetzallead
