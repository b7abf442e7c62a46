#include "core/config/SheetHistory.h"
#include "ArbitrarySheet.h"
#include "quetzallead/SheetDocument.h"
#include "quetzallead/SheetDocumentCodec.h"
#include "quetzallead/Submission.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

static const TimePoint Start = absl::FromUnixSeconds(1000);

static SheetDocument after(const SheetDocument &Base, const std::string &Id,
                           TimePoint Now = Start) {
  Submission What;
  What.Id = Id;
  What.Author = "ana";
  What.Reason = "r";
  What.Content = *arbitrarySheet();
  return nextDocument(Base, What, 0, Now);
}

RC_GTEST_PROP(SheetHistoryTest, DocumentsReadBackAsWritten, ()) {
  SheetDocument Document = after(after(SheetDocument(), "a"), "b");
  std::string Text = formatDocument(Document);
  auto Outcome = capture([&] { return parseDocument(Text); });
  RC_ASSERT(std::holds_alternative<SheetDocument>(Outcome));
  RC_ASSERT(formatDocument(std::get<SheetDocument>(Outcome)) == Text);
}

RC_GTEST_PROP(SheetHistoryTest, OneSubmissionBuiltTwiceIsTwoHistories, ()) {
  SheetDocument Base = after(SheetDocument(), "a");
  Submission What{"b", 1, "ana", "r", *arbitrarySheet()};
  SheetDocument First = nextDocument(Base, What, 0, Start);
  SheetDocument Later =
      nextDocument(Base, What, 0, Start + absl::Milliseconds(1));
  RC_ASSERT(!sameRevision(First, Later));
  RC_ASSERT(comesAfter(First, Later) != comesAfter(Later, First));
  RC_ASSERT(entriesMissingFrom(First, Later).empty());
}

RC_GTEST_PROP(SheetHistoryTest, JoinKeepsEveryEntryAndGoesAbove, ()) {
  SheetDocument Base = after(SheetDocument(), "a");
  SheetDocument Winner = after(after(Base, "b"), "c");
  SheetDocument Loser = after(Base, "d");
  RC_ASSERT(entriesMissingFrom(Winner, Base).empty());
  std::vector<AuditEntry> Orphans = entriesMissingFrom(Winner, Loser);
  RC_ASSERT(Orphans.size() == 1u);
  SheetDocument Joined = joinHistories(Winner, Orphans, Start);
  RC_ASSERT(Joined.Revision == Winner.Revision + 1);
  RC_ASSERT(Joined.Digest == Winner.Digest);
  RC_ASSERT(findEntry(Joined, "d")->Superseded);
  RC_ASSERT(entriesMissingFrom(Joined, Loser).empty());
  RC_ASSERT(entriesMissingFrom(Joined, Winner).empty());
}
