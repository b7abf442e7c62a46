#include "core/config/SheetAdoption.h"
#include "absl/strings/str_cat.h"
#include "core/config/SheetHistory.h"
#include "core/config/SheetStep.h"
#include "quetzallead/SheetDocumentCodec.h"
#include <algorithm>

namespace quetzallead {

static void dropKnownOrphans(SheetStoreState &S) {
  auto IsKnown = [&](const AuditEntry &Entry) {
    return findEntry(*S.Held, Entry.SubmissionId) != nullptr;
  };
  S.Orphans.erase(std::remove_if(S.Orphans.begin(), S.Orphans.end(), IsKnown),
                  S.Orphans.end());
}

static void addOrphan(SheetStoreState &S, const AuditEntry &Entry) {
  for (const AuditEntry &Orphan : S.Orphans)
    if (Orphan.SubmissionId == Entry.SubmissionId)
      return;
  S.Orphans.push_back(Entry);
}

static void keepOrphans(SheetStep &Step, const SheetDocument &Winner,
                        const SheetDocument &Loser) {
  std::vector<AuditEntry> Missing = entriesMissingFrom(Winner, Loser);
  if (Missing.empty())
    return;
  for (const AuditEntry &Entry : Missing)
    addOrphan(Step.S, Entry);
  Step.act(SheetAction::Notice{
      SheetAction::NoticeKind::HistoryDiverged,
      absl::StrCat("revision ", Winner.Revision, " governs; ", Missing.size(),
                   " entries of another history that reached revision ",
                   Loser.Revision, " are superseded")});
}

void adoptDocument(SheetStep &Step,
                   const std::shared_ptr<const SheetDocument> &Document) {
  SheetStoreState &S = Step.S;
  if (S.Held && sameRevision(*S.Held, *Document))
    return;
  if (S.Held && !comesAfter(*Document, *S.Held))
    return keepOrphans(Step, *S.Held, *Document);
  if (S.Held)
    keepOrphans(Step, *Document, *S.Held);
  S.Held = Document;
  dropKnownOrphans(S);
  Step.act(SheetAction::Publish{S.Held});
}

void compareWithStore(SheetStep &Step,
                      const std::shared_ptr<const SheetDocument> &Stored) {
  SheetStoreState &S = Step.S;
  S.StoreBehind = S.Held && (!Stored || !sameRevision(*S.Held, *Stored));
}

bool writeBack(SheetStep &Step,
               const std::shared_ptr<const SheetDocument> &Stored,
               std::uint64_t Index) {
  SheetStoreState &S = Step.S;
  compareWithStore(Step, Stored);
  if (!S.StoreBehind && S.Orphans.empty())
    return false;
  std::shared_ptr<const SheetDocument> Document = S.Held;
  if (!S.Orphans.empty())
    Document = std::make_shared<const SheetDocument>(
        joinHistories(*S.Held, S.Orphans, Step.Now));
  std::string Text = formatDocument(*Document);
  writeDocument(Step, StoreCall::WriteBack, std::move(Document),
                std::move(Text), Index);
  return true;
}

void peerAnnounced(SheetStep &Step, const std::string &Peer,
                   std::uint64_t Revision) {
  SheetStoreState &S = Step.S;
  S.HeardPeers = true;
  if (Revision <= heldRevision(S))
    return;
  bool Current = S.PeerRevisionUntil > Step.Now;
  S.PeerRevision = Current ? std::max(S.PeerRevision, Revision) : Revision;
  S.PeerRevisionUntil = Step.Now + S.Options.PeerMemory;
  if (S.FetchUntil > Step.Now)
    return;
  S.FetchUntil = Step.Now + S.Options.FetchWithin;
  Step.act(SheetAction::Fetch{Peer, heldRevision(S)});
}

bool mustHearPeers(const SheetStep &Step, std::uint64_t Revision) {
  const SheetStoreState &S = Step.S;
  bool Joining = !S.HeardPeers && Step.Now < *S.StartedAt + S.Options.JoinWait;
  bool HigherAnnounced = S.PeerRevision > std::max(Revision, heldRevision(S)) &&
                         Step.Now < S.PeerRevisionUntil;
  return Joining || HigherAnnounced;
}

} // namespace quetzallead
