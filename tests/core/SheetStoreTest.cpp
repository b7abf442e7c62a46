#include "quetzallead/SheetStore.h"
#include "core/config/SheetHistory.h"
#include "quetzallead/SheetAction.h"
#include "quetzallead/SheetDocumentCodec.h"
#include "quetzallead/SheetEvent.h"
#include "quetzallead/SheetStoreOptions.h"
#include <gtest/gtest.h>

using namespace quetzallead;

static Sheet sheetWithSlots(int Slots) {
  BackendServerSpec Server;
  Server.Name = "x";
  Server.Zone = "a";
  Server.Address = "127.0.0.1:21000";
  Server.Slots = Slots;
  ServiceSpec Service;
  Service.Name = "s";
  Service.Shards = {ShardSpec{"s0", "", "", {Server}}};
  return Sheet{"d", {"a"}, {Service}};
}

static Submission submission(const std::string &Id, std::uint64_t Base,
                             int Slots) {
  return Submission{Id, Base, "ana", "morning", sheetWithSlots(Slots)};
}

/// One instance with a store that answers as the test says.
class SheetStoreTest : public testing::Test {
protected:
  void feed(SheetEvent::Variant Body) {
    for (SheetAction &Action : Store.step(SheetEvent{std::move(Body)}, Now))
      Actions.push_back(std::move(Action));
  }
  void pass(Duration Span) {
    Now += Span;
    feed(SheetEvent::Tick{});
  }
  /// The last action of a type since the last call for it; fails if none.
  template <typename T> T take() {
    for (auto Action = Actions.rbegin(); Action != Actions.rend(); ++Action)
      if (auto *Found = std::get_if<T>(&Action->Body)) {
        T Taken = std::move(*Found);
        Actions.erase(std::next(Action).base());
        return Taken;
      }
    ADD_FAILURE() << "no such action";
    return T();
  }
  template <typename T> bool has() const {
    for (const SheetAction &Action : Actions)
      if (std::holds_alternative<T>(Action.Body))
        return true;
    return false;
  }
  /// Answers the read of the document.
  void answerRead() {
    SheetEvent::StoreRead Reply;
    Reply.Call = take<SheetAction::Read>().Call;
    Reply.Answered = true;
    Reply.Found = !Value.empty();
    Reply.Value = Value;
    Reply.ModifyIndex = Index;
    feed(Reply);
  }
  void failRead() {
    SheetEvent::StoreRead Reply;
    Reply.Call = take<SheetAction::Read>().Call;
    feed(Reply);
  }
  void answerWrite(WriteOutcome Outcome, bool Apply) {
    auto Write = take<SheetAction::Write>();
    EXPECT_EQ(Write.Index, Value.empty() ? 0 : Index);
    if (Apply) {
      Value = Write.Value;
      ++Index;
    }
    feed(SheetEvent::StoreWritten{Write.Call, Outcome});
  }
  SubmissionOutcome outcome() { return take<SheetAction::Answer>().Outcome; }

  /// Brings revision 1 into force.
  void SetUp() override {
    feed(SheetEvent::PeerAnnounced{"p", 0});
    feed(SheetEvent::Submitted{1, submission("first", 0, 1)});
    answerRead();
    answerWrite(WriteOutcome::Applied, true);
    EXPECT_EQ(outcome(), SubmissionOutcome::Accepted);
    EXPECT_EQ(take<SheetAction::Publish>().Document->Revision, 1u);
    Actions.clear();
  }
  void submit(const std::string &Id, std::uint64_t Base, int Slots) {
    feed(SheetEvent::Submitted{2, submission(Id, Base, Slots)});
  }
  /// What another instance writes to the store.
  void writtenElsewhere(const std::string &Id, int Slots) {
    auto Outcome = capture([&] { return parseDocument(Value); });
    Value = formatDocument(nextDocument(std::get<SheetDocument>(Outcome),
                                        submission(Id, 0, Slots), 0, Now));
    ++Index;
  }
  std::uint64_t revision() const { return Store.inForce()->Revision; }

  SheetStore Store{SheetStoreOptions(), 1};
  TimePoint Now = absl::FromUnixSeconds(1000);
  std::vector<SheetAction> Actions;
  std::string Value;
  std::uint64_t Index = 10;
};

TEST_F(SheetStoreTest, AcceptedSheetIsPublishedWithItsAuditEntry) {
  submit("second", 1, 2);
  answerRead();
  answerWrite(WriteOutcome::Applied, true);
  EXPECT_EQ(outcome(), SubmissionOutcome::Accepted);
  auto Document = take<SheetAction::Publish>().Document;
  ASSERT_EQ(Document->Audit.size(), 2u);
  const AuditEntry &Entry = Document->Audit.back();
  EXPECT_EQ(Entry.SubmissionId, "second");
  EXPECT_EQ(Entry.BaseRevision, 1u);
  ASSERT_EQ(Entry.Changes.size(), 1u);
  EXPECT_EQ(Entry.Changes[0],
            "~ services[s].shards[s0].servers[x].slots: 1 -> 2");
}

TEST_F(SheetStoreTest, LostAnswerOfAnAppliedWriteIsSettledByReading) {
  submit("second", 1, 2);
  answerRead();
  answerWrite(WriteOutcome::Unknown, true);
  EXPECT_FALSE(has<SheetAction::Answer>());
  pass(absl::Seconds(1));
  answerRead();
  EXPECT_EQ(outcome(), SubmissionOutcome::Accepted);
  EXPECT_EQ(revision(), 2u);
}

TEST_F(SheetStoreTest, LostWriteIsSentAgainUnchanged) {
  submit("second", 1, 2);
  answerRead();
  std::string First;
  for (const SheetAction &Action : Actions)
    if (const auto *Write = std::get_if<SheetAction::Write>(&Action.Body))
      First = Write->Value;
  answerWrite(WriteOutcome::Unknown, false);
  pass(absl::Seconds(1));
  answerRead();
  answerWrite(WriteOutcome::Applied, true);
  EXPECT_EQ(Value, First);
  EXPECT_EQ(outcome(), SubmissionOutcome::Accepted);
}

TEST_F(SheetStoreTest, UnknownIsToldInTimeAndSettledLater) {
  submit("second", 1, 2);
  answerRead();
  answerWrite(WriteOutcome::Unknown, true);
  pass(absl::Seconds(6));
  EXPECT_EQ(outcome(), SubmissionOutcome::Unknown);
  EXPECT_EQ(Store.unsettled(), 1u);
  submit("second", 1, 2);
  answerRead();
  EXPECT_EQ(outcome(), SubmissionOutcome::Accepted);
}

TEST_F(SheetStoreTest, UnreachableStoreIsToldAsUnavailable) {
  submit("second", 1, 2);
  failRead();
  pass(absl::Seconds(6));
  EXPECT_EQ(outcome(), SubmissionOutcome::Unavailable);
  EXPECT_EQ(Store.unsettled(), 0u);
}

TEST_F(SheetStoreTest, SecondOfTwoOperatorsIsToldOfTheConflict) {
  submit("second", 1, 2);
  answerRead();
  writtenElsewhere("other", 3);
  auto Write = take<SheetAction::Write>();
  feed(SheetEvent::StoreWritten{Write.Call, WriteOutcome::Refused});
  pass(absl::Seconds(1));
  answerRead();
  auto Answer = take<SheetAction::Answer>();
  EXPECT_EQ(Answer.Outcome, SubmissionOutcome::Conflict);
  EXPECT_EQ(Answer.Revision, 2u);
  EXPECT_EQ(Store.inForce()->Audit.back().SubmissionId, "other");
}

TEST_F(SheetStoreTest, SameSheetChangesNothing) {
  submit("again", 1, 1);
  answerRead();
  EXPECT_EQ(outcome(), SubmissionOutcome::Unchanged);
  EXPECT_FALSE(has<SheetAction::Write>());
}

TEST_F(SheetStoreTest, RepeatedIdIsAcceptedOnceAndNeverForAnotherSheet) {
  submit("first", 0, 1);
  answerRead();
  EXPECT_EQ(outcome(), SubmissionOutcome::Accepted);
  submit("first", 1, 7);
  answerRead();
  EXPECT_EQ(outcome(), SubmissionOutcome::Rejected);
  EXPECT_FALSE(has<SheetAction::Write>());
}

TEST_F(SheetStoreTest, OlderStoreGetsTheNewerDocumentBack) {
  std::string Old = Value;
  submit("second", 1, 2);
  answerRead();
  answerWrite(WriteOutcome::Applied, true);
  std::string New = Value;
  Actions.clear();
  Value = Old;
  ++Index;
  submit("third", 1, 3);
  answerRead();
  answerWrite(WriteOutcome::Applied, true);
  EXPECT_EQ(Value, New);
  EXPECT_EQ(revision(), 2u);
  EXPECT_TRUE(has<SheetAction::Notice>());
  answerRead();
  EXPECT_EQ(outcome(), SubmissionOutcome::Conflict);
}

TEST_F(SheetStoreTest, EmptiedStoreGetsTheDocumentBack) {
  std::string Held = Value;
  Value.clear();
  feed(SheetEvent::DutyChanged{true});
  auto Watch = take<SheetAction::Watch>();
  feed(SheetEvent::StoreRead{Watch.Call, true, false, "", 0, 20});
  answerRead();
  answerWrite(WriteOutcome::Applied, true);
  EXPECT_EQ(Value, Held);
}

TEST_F(SheetStoreTest, UnreadableStoreIsLeftAlone) {
  Value = "{\"format\": 2}";
  submit("second", 1, 2);
  answerRead();
  EXPECT_TRUE(has<SheetAction::Notice>());
  EXPECT_FALSE(has<SheetAction::Write>());
  EXPECT_EQ(revision(), 1u);
}

TEST_F(SheetStoreTest, HigherRevisionAtAPeerHoldsSubmissionsUp) {
  feed(SheetEvent::PeerAnnounced{"q", 2});
  EXPECT_EQ(take<SheetAction::Fetch>().FromRevision, 1u);
  submit("third", 1, 3);
  answerRead();
  EXPECT_FALSE(has<SheetAction::Write>());
  auto Newer = std::make_shared<SheetDocument>(
      nextDocument(*Store.inForce(), submission("second", 1, 2), 0, Now));
  feed(SheetEvent::PeerDocument{Newer});
  EXPECT_EQ(revision(), 2u);
  pass(absl::Seconds(1));
  answerRead();
  answerWrite(WriteOutcome::Applied, true);
  EXPECT_EQ(Value, formatDocument(*Newer));
}

TEST_F(SheetStoreTest, LowerDocumentOfAPeerIsNotTakenIn) {
  submit("second", 1, 2);
  answerRead();
  auto Older = Store.inForce();
  answerWrite(WriteOutcome::Applied, true);
  feed(SheetEvent::PeerDocument{Older});
  EXPECT_EQ(revision(), 2u);
}
