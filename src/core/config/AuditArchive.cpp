#include "core/config/AuditArchive.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "core/config/SheetStep.h"
#include "quetzallead/SheetDocumentCodec.h"
#include <algorithm>

namespace quetzallead {

static std::vector<AuditEntry> oldestEntries(const SheetStoreState &S,
                                             const SheetDocument &Document) {
  std::size_t Count = std::min(S.Options.AuditBlockSize, Document.Audit.size());
  return std::vector<AuditEntry>(Document.Audit.begin(),
                                 Document.Audit.begin() +
                                     static_cast<std::ptrdiff_t>(Count));
}

static bool isFull(const SheetStoreState &S, const SheetDocument &Document) {
  return Document.Audit.size() >= S.Options.MaxAuditInside;
}

bool startArchiving(SheetStep &Step, const SheetDocument &Document) {
  SheetStoreState &S = Step.S;
  if (!isFull(S, Document))
    return false;
  std::vector<AuditEntry> Oldest = oldestEntries(S, Document);
  if (Oldest == S.BlockEntries && (S.BlockConfirmed || S.BlockUnusable))
    return false;
  std::uint64_t Highest = 0;
  for (const AuditEntry &Entry : Oldest)
    Highest = std::max(Highest, Entry.Revision);
  S.BlockEntries = std::move(Oldest);
  S.BlockKey = absl::StrCat(S.Options.AuditPrefix, Highest);
  S.BlockConfirmed = false;
  S.BlockUnusable = false;
  SheetAction::Read Read;
  Read.Call = beginCall(S, StoreCall::ReadBlock);
  Read.Key = S.BlockKey;
  Step.act(std::move(Read));
  return true;
}

std::size_t archivedEntries(const SheetStoreState &S,
                            const SheetDocument &Document) {
  if (!isFull(S, Document) || !S.BlockConfirmed ||
      oldestEntries(S, Document) != S.BlockEntries)
    return 0;
  return S.BlockEntries.size();
}

static void writeBlock(SheetStep &Step, const std::vector<AuditEntry> &Entries,
                       std::uint64_t Index) {
  SheetAction::Write Write;
  Write.Call = beginCall(Step.S, StoreCall::WriteBlock);
  Write.Key = Step.S.BlockKey;
  Write.Value = formatAuditBlock(Entries);
  Write.Index = Index;
  Step.act(std::move(Write));
}

void blockRead(SheetStep &Step, const SheetEvent::StoreRead &Event) {
  SheetStoreState &S = Step.S;
  if (!Event.Answered)
    return pauseStore(Step);
  if (!Event.Found)
    return writeBlock(Step, S.BlockEntries, 0);
  auto Outcome = capture([&] { return parseAuditBlock(Event.Value); });
  if (const auto *Failure = std::get_if<Error>(&Outcome)) {
    S.BlockUnusable = true;
    Step.act(SheetAction::Notice{SheetAction::NoticeKind::StoreUnreadable,
                                 S.BlockKey + ": " + Failure->text()});
    return;
  }
  const auto &Present = std::get<std::vector<AuditEntry>>(Outcome);
  std::vector<AuditEntry> All = auditTrail({Present}, S.BlockEntries);
  if (All.size() == Present.size()) {
    S.BlockConfirmed = true;
    return;
  }
  writeBlock(Step, All, Event.ModifyIndex);
}

void blockWritten(SheetStep &Step, WriteOutcome Outcome) {
  if (Outcome == WriteOutcome::Applied)
    Step.S.BlockConfirmed = true;
  else
    pauseStore(Step);
}

std::vector<AuditEntry>
auditTrail(const std::vector<std::vector<AuditEntry>> &Blocks,
           const std::vector<AuditEntry> &Inside) {
  absl::flat_hash_set<std::string> Seen;
  std::vector<AuditEntry> Trail;
  auto AddNew = [&](const AuditEntry &Entry) {
    if (Seen.insert(Entry.SubmissionId).second)
      Trail.push_back(Entry);
  };
  for (const std::vector<AuditEntry> &Block : Blocks)
    std::for_each(Block.begin(), Block.end(), AddNew);
  std::for_each(Inside.begin(), Inside.end(), AddNew);
  return Trail;
}

} // namespace quetzallead
