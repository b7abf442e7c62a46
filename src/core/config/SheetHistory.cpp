#include "core/config/SheetHistory.h"
#include "absl/strings/str_cat.h"
#include "core/base/Digest.h"
#include "quetzallead/SheetChange.h"
#include "quetzallead/SheetCodec.h"
#include "quetzallead/SheetDiff.h"
#include "quetzallead/SheetDocument.h"
#include "quetzallead/SheetDocumentCodec.h"
#include "quetzallead/Submission.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzallead {

/// Changes named in an audit entry, and bytes of each.
static constexpr std::size_t MaxChangesNamed = 4;
static constexpr std::size_t MaxChangeBytes = 160;

/// Entries keep whole milliseconds, so that they read back equal.
static TimePoint toMilliseconds(TimePoint Time) {
  return absl::FromUnixMillis(absl::ToUnixMillis(Time));
}

/// \p Text cut at \p Most bytes, never inside a UTF-8 sequence.
static std::string shortened(std::string Text, std::size_t Most) {
  if (Text.size() <= Most)
    return Text;
  while (Most > 0 && (static_cast<unsigned char>(Text[Most]) & 0xC0) == 0x80)
    --Most;
  Text.resize(Most);
  return Text + "...";
}

const AuditEntry *findEntry(const SheetDocument &Document,
                            const std::string &Id) {
  for (const AuditEntry &Entry : Document.Audit)
    if (Entry.SubmissionId == Id)
      return &Entry;
  return nullptr;
}

std::vector<AuditEntry> entriesMissingFrom(const SheetDocument &Winner,
                                           const SheetDocument &Loser) {
  std::vector<AuditEntry> Missing;
  for (const AuditEntry &Entry : Loser.Audit) {
    if (Entry.Revision <= Winner.ArchivedThrough)
      continue;
    if (findEntry(Winner, Entry.SubmissionId))
      continue;
    Missing.push_back(Entry);
    Missing.back().Superseded = true;
  }
  return Missing;
}

static void nameChanges(const Sheet &Before, const Sheet &After,
                        AuditEntry &Entry) {
  std::vector<SheetChange> Changes = diffSheets(Before, After);
  Entry.ChangeCount = Changes.size();
  for (std::size_t I = 0; I < std::min(Changes.size(), MaxChangesNamed); ++I)
    Entry.Changes.push_back(shortened(Changes[I].text(), MaxChangeBytes));
}

/// Leaves the first \p Count entries out.
static void dropEntries(SheetDocument &Document, std::size_t Count) {
  auto End =
      Document.Audit.begin() +
      static_cast<std::ptrdiff_t>(std::min(Count, Document.Audit.size()));
  for (auto Entry = Document.Audit.begin(); Entry != End; ++Entry)
    Document.ArchivedThrough =
        std::max(Document.ArchivedThrough, Entry->Revision);
  Document.Audit.erase(Document.Audit.begin(), End);
}

/// Sets the digest that chains \p Entry to the history before it.
static void chainEntry(AuditEntry &Entry, const std::string &Before) {
  Entry.History.clear();
  nlohmann::json Json = auditEntryToJson(Entry);
  Json.erase("history");
  Json.erase("superseded");
  Entry.History = sha256Hex(absl::StrCat(Before, "\n", Json.dump()));
}

SheetDocument nextDocument(const SheetDocument &Base, const Submission &What,
                           std::size_t Archived, TimePoint Now) {
  SheetDocument Next = Base;
  Next.Revision = Base.Revision + 1;
  Next.Content = What.Content;
  Next.Digest = sheetDigest(What.Content);
  dropEntries(Next, Archived);
  AuditEntry Entry;
  Entry.Revision = Next.Revision;
  Entry.BaseRevision = Base.Revision;
  Entry.SubmissionId = What.Id;
  Entry.Author = What.Author;
  Entry.Reason = What.Reason;
  Entry.Time = toMilliseconds(Now);
  Entry.Digest = Next.Digest;
  nameChanges(Base.Content, What.Content, Entry);
  chainEntry(Entry, Base.history());
  Next.Audit.push_back(std::move(Entry));
  return Next;
}

static std::string joinId(std::uint64_t Revision,
                          const std::vector<AuditEntry> &Orphans) {
  std::string Ids;
  for (const AuditEntry &Orphan : Orphans)
    absl::StrAppend(&Ids, Orphan.SubmissionId, "\n");
  constexpr std::size_t HashDigits = 16;
  return absl::StrCat("join-", Revision, "-",
                      sha256Hex(Ids).substr(0, HashDigits));
}

SheetDocument joinHistories(const SheetDocument &Winner,
                            const std::vector<AuditEntry> &Orphans,
                            TimePoint Now) {
  SheetDocument Joined = Winner;
  for (const AuditEntry &Orphan : Orphans) {
    Joined.Audit.push_back(Orphan);
    Joined.Revision = std::max(Joined.Revision, Orphan.Revision);
  }
  ++Joined.Revision;
  AuditEntry Entry;
  Entry.Revision = Joined.Revision;
  Entry.BaseRevision = Winner.Revision;
  Entry.SubmissionId = joinId(Joined.Revision, Orphans);
  Entry.Author = "quetzallead";
  Entry.Reason = "joins diverged histories";
  Entry.Time = toMilliseconds(Now);
  Entry.Digest = Joined.Digest;
  std::string Before = Winner.history();
  for (const AuditEntry &Orphan : Orphans)
    absl::StrAppend(&Before, " ", Orphan.History);
  chainEntry(Entry, Before);
  Joined.Audit.push_back(std::move(Entry));
  return Joined;
}

} // namespace quetzallead
