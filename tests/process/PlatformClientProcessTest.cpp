#include "support/FakeProcess.h"
#include "support/LoopbackAddresses.h"
#include "support/WaitUntil.h"
#include "transport/platform/CatalogReply.h"
#include "transport/platform/KvReply.h"
#include "transport/platform/PlatformClient.h"
#include "transport/platform/SessionReply.h"
#include "transport/platform/WriteReply.h"
#include <functional>
#include <future>
#include <gtest/gtest.h>

using namespace quetzallead;
using nlohmann::json;

namespace {

/// PlatformClient on the real HttpClient against the fake platform.
class PlatformClientProcessTest : public testing::Test {
protected:
  void SetUp() override {
    LoopbackAddresses Addresses;
    std::string Address = Addresses.next();
    Fake = FakeProcess::startPlatform(
        {"--listen", Address, "--admin", Addresses.next()});
    ASSERT_NE(Fake, nullptr);
    Http = HttpClient::make(HttpClient::Options());
    PlatformClient::Options Options;
    Options.Address = Address;
    Options.Timeout = absl::Seconds(30);
    Client = std::make_unique<PlatformClient>(*Http, Options);
  }

  /// Runs one call and waits for its reply.
  template <typename Reply>
  std::future<Reply>
  begin(const std::function<void(std::function<void(Reply)>)> &Start) {
    auto Promise = std::make_shared<std::promise<Reply>>();
    Start([Promise](Reply R) { Promise->set_value(std::move(R)); });
    return Promise->get_future();
  }
  KvReply read() {
    return begin<KvReply>([&](auto Done) { Client->read(Key, Done); }).get();
  }
  WriteOutcome swap(const std::string &Value, std::uint64_t Index) {
    return begin<WriteReply>([&](auto Done) {
             Client->compareAndSwap(Key, Value, Index, Done);
           })
        .get()
        .Outcome;
  }
  void setFaults(const json &Faults) {
    EXPECT_TRUE(Fake->post("/faults", Faults).is_object());
  }

  const std::string Key = "quetzallead/sheet";
  std::unique_ptr<FakeProcess> Fake;
  std::unique_ptr<HttpClient> Http;
  std::unique_ptr<PlatformClient> Client;
};

} // namespace

TEST_F(PlatformClientProcessTest, WritesOnlyFromTheIndexItRead) {
  EXPECT_FALSE(read().Entry.has_value());
  EXPECT_EQ(swap("one", 0), WriteOutcome::Applied);
  EXPECT_EQ(swap("two", 0), WriteOutcome::Refused);
  KvReply Got = read();
  ASSERT_TRUE(Got.Entry.has_value());
  EXPECT_EQ(Got.Entry->Value, "one");
  EXPECT_EQ(swap("two", Got.Entry->ModifyIndex), WriteOutcome::Applied);
}

TEST_F(PlatformClientProcessTest, LostAnswerIsUnknownAndReadBack) {
  setFaults({{"lose_write_answers", 1}});
  EXPECT_EQ(swap("one", 0), WriteOutcome::Unknown);
  ASSERT_TRUE(read().Entry.has_value());
  EXPECT_EQ(read().Entry->Value, "one");
}

TEST_F(PlatformClientProcessTest, OutagesAreTold) {
  setFaults({{"outage", "error"}});
  EXPECT_EQ(swap("one", 0), WriteOutcome::Unknown);
  EXPECT_EQ(read().Outcome, ReadOutcome::Unavailable);
  setFaults({{"outage", "none"}});
  EXPECT_EQ(read().Outcome, ReadOutcome::Answered);
}

TEST_F(PlatformClientProcessTest, WatchEndsWithTheNextWrite) {
  EXPECT_EQ(swap("one", 0), WriteOutcome::Applied);
  KvReply Before = read();
  auto Watched = begin<KvReply>([&](auto Done) {
    Client->watch(Key, Before.Index, absl::Seconds(60), Done);
  });
  ASSERT_TRUE(waitUntil(
      [&] { return Fake->get("/counters")["waiting_watches"] == 1; }));
  EXPECT_EQ(swap("two", Before.Entry->ModifyIndex), WriteOutcome::Applied);
  KvReply After = Watched.get();
  ASSERT_TRUE(After.Entry.has_value());
  EXPECT_EQ(After.Entry->Value, "two");
  EXPECT_GT(After.Index, Before.Index);
}

TEST_F(PlatformClientProcessTest, SessionHoldsItsKeyUntilItEnds) {
  auto Session = begin<SessionReply>([&](auto Done) {
                   Client->createSession(absl::Seconds(60), Done);
                 }).get();
  ASSERT_EQ(Session.Outcome, WriteOutcome::Applied);
  auto Taken = begin<WriteReply>(
      [&](auto Done) { Client->acquire(Key, "me", 0, Session.Id, Done); });
  EXPECT_EQ(Taken.get().Outcome, WriteOutcome::Applied);
  EXPECT_EQ(read().Entry->Session, Session.Id);
  EXPECT_TRUE(Fake->post("/lapse", {{"session", Session.Id}}).is_object());
  EXPECT_FALSE(read().Entry.has_value());
  auto Renewed = begin<WriteReply>(
      [&](auto Done) { Client->renewSession(Session.Id, Done); });
  EXPECT_EQ(Renewed.get().Outcome, WriteOutcome::Refused);
}

TEST_F(PlatformClientProcessTest, EnlistsListsAndDelists) {
  CatalogEntry Entry{"i1", "127.0.0.1:7", "a", true};
  auto Enlisted = begin<WriteReply>(
      [&](auto Done) { Client->enlist("quetzallead", Entry, Done); });
  EXPECT_EQ(Enlisted.get().Outcome, WriteOutcome::Applied);
  auto List = [&] {
    return begin<CatalogReply>(
               [&](auto Done) { Client->list("quetzallead", Done); })
        .get();
  };
  EXPECT_EQ(List().Entries, std::vector<CatalogEntry>{Entry});
  auto Delisted =
      begin<WriteReply>([&](auto Done) { Client->delist("i1", Done); });
  EXPECT_EQ(Delisted.get().Outcome, WriteOutcome::Applied);
  EXPECT_TRUE(List().Entries.empty());
}
