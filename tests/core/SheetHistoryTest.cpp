#include "core/config/SheetHistory.h"
#include "ArbitrarySheet.h"
#include "quetzallead/SheetDelta.h"
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

RC_GTEST_PROP(SheetDeltaTest, DeltaGivesTheDocument, ()) {
  SheetDocument Held = after(SheetDocument(), "a");
  SheetDocument Next = after(Held, "b");
  SheetDelta Delta = makeDelta(&Held, Next);
  auto Outcome = capture([&] { return applyDelta(&Held, Delta); });
  RC_ASSERT(std::holds_alternative<SheetDocument>(Outcome));
  RC_ASSERT(formatDocument(std::get<SheetDocument>(Outcome)) ==
            formatDocument(Next));
  auto Whole = capture([&] {
    SheetDelta All = makeDelta(nullptr, Next);
    return applyDelta(nullptr, All);
  });
  RC_ASSERT(std::holds_alternative<SheetDocument>(Whole));
}

RC_GTEST_PROP(SheetDeltaTest, AlteredDeltasAreRefused, ()) {
  SheetDocument Held = after(SheetDocument(), "a");
  SheetDelta Delta = makeDelta(&Held, after(Held, "b"));
  auto At = *rc::gen::inRange<std::size_t>(0, Delta.Body.size());
  char Changed = *rc::gen::arbitrary<char>();
  RC_PRE(Changed != Delta.Body[At] && !isspace(Delta.Body[At]));
  Delta.Body[At] = Changed;
  auto Outcome = capture([&] { return applyDelta(&Held, Delta); });
  RC_ASSERT(std::holds_alternative<Error>(Outcome));
}

TEST(SheetDeltaTest, PatchMayNotCopy) {
  SheetDocument Held;
  Held.Revision = 1;
  SheetDelta Delta;
  Delta.FromRevision = 1;
  Delta.Body = R"([{"op": "copy", "from": "/audit", "path": "/audit/0"}])";
  auto Outcome = capture([&] { return applyDelta(&Held, Delta); });
  ASSERT_TRUE(std::holds_alternative<Error>(Outcome));
  EXPECT_EQ(std::get<Error>(Outcome).Code, ErrorCode::InvalidArgument);
}

TEST(SubmissionTest, ErrorsNameTheFieldOfTheSheet) {
  auto Outcome = capture([] {
    return parseSubmission(R"({"submission_id": "x", "base_revision": 0,
      "author": "ana", "reason": "r", "sheet": "{\"format\": 1}"})");
  });
  ASSERT_TRUE(std::holds_alternative<Error>(Outcome));
  EXPECT_EQ(std::get<Error>(Outcome).Where, "sheet.deployment");
}
