#include "core/membership/GossipCodec.h"

#include "core/membership/MemberTable.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace quetzallead {
namespace {

const TimePoint Now = absl::FromUnixSeconds(1'700'000'000);

GossipMessage exampleMessage() {
  GossipMessage M;
  M.Kind = GossipKind::Sync;
  M.Sender = {"i1", "10.0.0.1:9000",    "north-1", 1'700'000'000'000,
              2,    MemberState::Alive, true,      17};
  M.Number = 5;
  M.Target = "i9";
  M.Digest = ~std::uint64_t{0};
  M.Buckets = {1, 31};
  M.Members = {M.Sender, {"i2", "a", "z", 1, 0, MemberState::Dead, false, 0}};
  M.Sheets = {{"i2", 0xffffffff, 18}};
  M.Servers = {{"s1", ServerNoticeState::Leaving, 8, Now + absl::Seconds(30)}};
  M.Departures = {{"i3", 4, {"i4", "i5"}, Now + absl::Minutes(15)}};
  return M;
}

bool decodes(absl::string_view Bytes) {
  return std::holds_alternative<GossipMessage>(
      capture([&] { return decodeGossip(Bytes, Now); }));
}

TEST(GossipCodecTest, ReadsWhatItWrites) {
  const GossipMessage M = exampleMessage();
  const auto Back = decodeGossip(encodeGossip(M, Now), Now);
  ASSERT_TRUE(Back);
  EXPECT_EQ(Back->Kind, M.Kind);
  EXPECT_EQ(Back->Sender, M.Sender);
  EXPECT_EQ(Back->Number, M.Number);
  EXPECT_EQ(Back->Target, M.Target);
  EXPECT_EQ(Back->Digest, M.Digest);
  EXPECT_EQ(Back->Buckets, M.Buckets);
  EXPECT_EQ(Back->Members, M.Members);
  ASSERT_EQ(Back->Sheets.size(), 1u);
  EXPECT_EQ(Back->Sheets[0].IncarnationTag, 0xffffffffu);
  EXPECT_EQ(Back->Sheets[0].SheetRevision, 18u);
  ASSERT_EQ(Back->Servers.size(), 1u);
  EXPECT_EQ(Back->Servers[0].State, ServerNoticeState::Leaving);
  EXPECT_EQ(Back->Servers[0].Expires, Now + absl::Seconds(30));
  ASSERT_EQ(Back->Departures.size(), 1u);
  EXPECT_EQ(Back->Departures[0].Successors, M.Departures[0].Successors);
}

TEST(GossipCodecTest, RefusesWhatBreaksALimit) {
  GossipMessage LongName = exampleMessage();
  LongName.Members[0].Name.assign(MemberRecord::MaxTextBytes + 1, 'n');
  EXPECT_FALSE(decodes(encodeGossip(LongName, Now)));
  GossipMessage ManySuccessors = exampleMessage();
  ManySuccessors.Departures[0].Successors.assign(
      DepartureNotice::MaxSuccessors + 1, "i");
  EXPECT_FALSE(decodes(encodeGossip(ManySuccessors, Now)));
  GossipMessage ManyBuckets = exampleMessage();
  ManyBuckets.Buckets.assign(GossipMessage::BucketCount + 1, 0);
  EXPECT_FALSE(decodes(encodeGossip(ManyBuckets, Now)));
  GossipMessage LeavingAsHealth = exampleMessage();
  LeavingAsHealth.Members[0].Health = MemberState::Leaving;
  EXPECT_FALSE(decodes(encodeGossip(LeavingAsHealth, Now)));
  GossipMessage Large = exampleMessage();
  Large.Members.assign(1000, Large.Sender);
  EXPECT_FALSE(decodes(encodeGossip(Large, Now)));
}

TEST(GossipCodecTest, StatedSizesHold) {
  const GossipMessage M = exampleMessage();
  GossipMessage Empty = M;
  Empty.Members.clear();
  Empty.Sheets.clear();
  Empty.Servers.clear();
  Empty.Departures.clear();
  // Four field names and array heads come on top.
  const std::size_t Heads = 12;
  const std::size_t Items =
      encodedBytes(M.Members[0]) + encodedBytes(M.Members[1]) +
      encodedBytes(M.Sheets[0]) + encodedBytes(M.Servers[0]) +
      encodedBytes(M.Departures[0]);
  EXPECT_LE(encodeGossip(M, Now).size(),
            encodeGossip(Empty, Now).size() + Items + Heads);
}

RC_GTEST_PROP(GossipCodecProperty, AnyBytesAreReadOrRefused,
              (const std::vector<char> &Bytes)) {
  decodes({Bytes.data(), Bytes.size()});
}

RC_GTEST_PROP(GossipCodecProperty, ChangedMessagesAreReadOrRefused, ()) {
  std::string Bytes = encodeGossip(exampleMessage(), Now);
  const int Changes = *rc::gen::inRange(1, 6);
  for (int I = 0; I < Changes; ++I)
    Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
        *rc::gen::arbitrary<char>();
  Bytes.resize(*rc::gen::inRange<std::size_t>(0, Bytes.size() + 1));
  const auto Outcome = capture([&] { return decodeGossip(Bytes, Now); });
  const auto *M = std::get_if<GossipMessage>(&Outcome);
  if (M) {
    RC_ASSERT(M->Members.size() <= Bytes.size());
    RC_ASSERT(M->Sender.Name.size() <= MemberRecord::MaxTextBytes);
  }
}

} // namespace
} // namespace quetzallead
