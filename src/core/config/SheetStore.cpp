#include "quetzallead/SheetStore.h"
#include "absl/strings/str_cat.h"
#include "core/config/AuditArchive.h"
#include "core/config/SheetAdoption.h"
#include "core/config/SheetSettling.h"
#include "core/config/SheetStep.h"
#include "quetzallead/SheetDocumentCodec.h"
#include "quetzallead/SheetEvent.h"
#include <algorithm>

namespace quetzallead {

/// The document in a value of the store; null, with a notice, if unreadable.
static std::shared_ptr<const SheetDocument>
parseValue(SheetStep &Step, const std::string &Value) {
  SheetStoreState &S = Step.S;
  if (S.Parsed && S.ParsedValue == Value)
    return S.Parsed;
  auto Outcome = capture([&] { return parseDocument(Value); });
  if (const auto *Failure = std::get_if<Error>(&Outcome)) {
    Step.act(SheetAction::Notice{SheetAction::NoticeKind::StoreUnreadable,
                                 Failure->text()});
    return nullptr;
  }
  S.Parsed = std::make_shared<const SheetDocument>(
      std::get<SheetDocument>(std::move(Outcome)));
  S.ParsedValue = Value;
  return S.Parsed;
}

/// Whether the store must be called although no watch tells so.
static bool wantsStore(const SheetStoreState &S) {
  return !S.Queue.empty() || S.StoreBehind || !S.Orphans.empty() ||
         (!S.Held && !S.OnDuty);
}

static void documentRead(SheetStep &Step, const SheetEvent::StoreRead &Event) {
  SheetStoreState &S = Step.S;
  if (!Event.Answered)
    return pauseStore(Step);
  std::shared_ptr<const SheetDocument> Stored;
  if (Event.Found) {
    Stored = parseValue(Step, Event.Value);
    if (!Stored)
      return pauseStore(Step);
    adoptDocument(Step, Stored);
  }
  std::uint64_t Index = Event.Found ? Event.ModifyIndex : 0;
  if (writeBack(Step, Stored, Index))
    return;
  settleSubmissions(Step, Stored, Index);
  if (S.Current == StoreCall::None && !S.Held)
    pauseStore(Step);
  if (!wantsStore(S))
    S.Failures = 0;
}

static void writtenBack(SheetStep &Step, WriteOutcome Outcome) {
  if (Outcome != WriteOutcome::Applied)
    return pauseStore(Step);
  Step.act(
      SheetAction::Notice{SheetAction::NoticeKind::StoreOlder,
                          absl::StrCat("revision ", Step.S.Written->Revision,
                                       " was written back to the store")});
  adoptDocument(Step, Step.S.Written);
  compareWithStore(Step, Step.S.Written);
  Step.S.Failures = 0;
}

static void watched(SheetStep &Step, const SheetEvent::StoreRead &Event) {
  SheetStoreState &S = Step.S;
  S.WatchCall = 0;
  if (!Event.Answered) {
    S.WatchIndex = 0;
    S.WatchAt = Step.Now + jitteredPause(S, S.WatchFailures++);
    return;
  }
  bool WentBack = Event.WatchIndex < S.WatchIndex;
  S.WatchIndex = WentBack ? 0 : Event.WatchIndex;
  bool Useless = Event.WatchIndex == 0 || WentBack;
  S.WatchFailures = Useless ? S.WatchFailures + 1 : 0;
  S.WatchAt = Step.Now + jitteredPause(S, S.WatchFailures);
  std::shared_ptr<const SheetDocument> Stored;
  if (Event.Found) {
    Stored = parseValue(Step, Event.Value);
    if (!Stored)
      return;
    adoptDocument(Step, Stored);
  }
  compareWithStore(Step, Stored);
}

static void apply(SheetStep &, const SheetEvent::Tick &) {}

static void apply(SheetStep &Step, const SheetEvent::Submitted &Event) {
  receiveSubmission(Step, Event.Request, Event.What);
}

static void apply(SheetStep &Step, const SheetEvent::StoreRead &Event) {
  SheetStoreState &S = Step.S;
  if (Event.Call != 0 && Event.Call == S.WatchCall)
    return watched(Step, Event);
  if (Event.Call != S.CurrentCall)
    return;
  StoreCall Purpose = S.Current;
  S.Current = StoreCall::None;
  S.CurrentCall = 0;
  if (Purpose == StoreCall::ReadBlock)
    blockRead(Step, Event);
  else if (Purpose == StoreCall::ReadDocument)
    documentRead(Step, Event);
}

static void apply(SheetStep &Step, const SheetEvent::StoreWritten &Event) {
  SheetStoreState &S = Step.S;
  if (Event.Call != S.CurrentCall)
    return;
  StoreCall Purpose = S.Current;
  S.Current = StoreCall::None;
  S.CurrentCall = 0;
  if (Purpose == StoreCall::WriteSubmission)
    submissionWritten(Step, Event.Outcome);
  else if (Purpose == StoreCall::WriteBack)
    writtenBack(Step, Event.Outcome);
  else if (Purpose == StoreCall::WriteBlock)
    blockWritten(Step, Event.Outcome);
}

static void apply(SheetStep &Step, const SheetEvent::DutyChanged &Event) {
  if (Event.Watch && !Step.S.OnDuty)
    Step.S.WatchIndex = 0;
  Step.S.OnDuty = Event.Watch;
}

static void apply(SheetStep &Step, const SheetEvent::PeerAnnounced &Event) {
  peerAnnounced(Step, Event.Peer, Event.Revision);
}

static void apply(SheetStep &Step, const SheetEvent::PeerDocument &Event) {
  Step.S.FetchUntil = Step.Now;
  adoptDocument(Step, Event.Document);
}

static void startRead(SheetStep &Step) {
  SheetStoreState &S = Step.S;
  if (S.Current != StoreCall::None || !wantsStore(S) || S.RetryAt > Step.Now)
    return;
  SheetAction::Read Read;
  Read.Call = beginCall(S, StoreCall::ReadDocument);
  Read.Key = S.Options.SheetKey;
  Step.act(std::move(Read));
}

static void startWatch(SheetStep &Step) {
  SheetStoreState &S = Step.S;
  if (!S.OnDuty || S.WatchCall != 0 || S.WatchAt > Step.Now)
    return;
  S.WatchCall = ++S.LastCall;
  SheetAction::Watch Watch;
  Watch.Call = S.WatchCall;
  Watch.Key = S.Options.SheetKey;
  Watch.Index = S.WatchIndex;
  Watch.Wait = S.Options.WatchWait;
  Step.act(std::move(Watch));
}

SheetStore::SheetStore(SheetStoreOptions Options, std::uint64_t Seed)
    : State(std::make_unique<SheetStoreState>()) {
  State->Options = std::move(Options);
  State->Random.seed(static_cast<std::minstd_rand::result_type>(Seed));
}

SheetStore::~SheetStore() = default;
SheetStore::SheetStore(SheetStore &&) noexcept = default;
SheetStore &SheetStore::operator=(SheetStore &&) noexcept = default;

std::vector<SheetAction> SheetStore::step(const SheetEvent &Event,
                                          TimePoint Now) {
  if (!State->StartedAt)
    State->StartedAt = Now;
  SheetStep Step{*State, Now, {}};
  std::visit([&](const auto &Body) { apply(Step, Body); }, Event.Body);
  answerOverdue(Step);
  startRead(Step);
  startWatch(Step);
  return std::move(Step.Actions);
}

std::shared_ptr<const SheetDocument> SheetStore::inForce() const {
  return State->Held;
}

TimePoint SheetStore::nextWakeUp() const {
  TimePoint Next = absl::InfiniteFuture();
  if (State->Current == StoreCall::None && wantsStore(*State))
    Next = std::min(Next, State->RetryAt);
  if (State->OnDuty && State->WatchCall == 0)
    Next = std::min(Next, State->WatchAt);
  for (const PendingSubmission &Pending : State->Queue) {
    if (!Pending.Requests.empty())
      Next = std::min(Next, Pending.AnswerBy);
    else if (State->Current != StoreCall::WriteSubmission)
      Next = std::min(Next, Pending.GiveUpAt);
  }
  return Next;
}

std::size_t SheetStore::unsettled() const { return State->Queue.size(); }

} // namespace quetzallead
