#include "absl/strings/str_cat.h"
#include "support/FakeProcess.h"
#include "support/Fetch.h"
#include "support/LoopbackAddresses.h"
#include "support/TempFolder.h"
#include "support/TestSheet.h"
#include "support/WaitUntil.h"
#include <future>
#include <gtest/gtest.h>

using namespace quetzallead;
using nlohmann::json;

namespace {

/// A fake backend with one server, s0-a, that holds version 5.
class FakeBackendServerTest : public testing::Test {
protected:
  void SetUp() override {
    TestSheetShape Shape;
    Shape.Zones = {"a"};
    Shape.Shards = 2;
    Shape.Slots = 1;
    Shape.Connections = 4;
    const json Sheet = makeTestSheet(Shape, Addresses);
    Server = Sheet["services"][0]["shards"][0]["servers"][0]["address"];
    Fake = FakeProcess::startBackend(
        {"--sheet", Folder.write("sheet.json", Sheet.dump()), "--admin",
         Addresses.next(), "--version", "5"});
    ASSERT_NE(Fake, nullptr);
  }

  std::optional<HttpResponse> send(const std::string &Id,
                                   const std::string &Kind, const json &Body,
                                   int TimeoutMs = 30000) {
    FetchCall Call;
    Call.Method = "POST";
    Call.Address = Server;
    Call.Target = absl::StrCat("/v1/shards/", TestService, "/s0/", Kind);
    Call.Headers.add("X-Request-Id", Id);
    Call.Headers.add("Request-Timeout-Ms", absl::StrCat(TimeoutMs));
    json Sent = Body;
    Sent["id"] = Id;
    Call.Body = Sent.dump();
    return fetch(Call);
  }

  std::future<std::optional<HttpResponse>> sendAside(const std::string &Id,
                                                     const json &Body) {
    return std::async(std::launch::async,
                      [this, Id, Body] { return send(Id, "query", Body); });
  }

  json entry(const std::string &Id) {
    for (const json &Entry : Fake->journal())
      if (Entry["id"] == Id)
        return Entry;
    return nullptr;
  }

  bool waitForEntry(const std::string &Id) {
    return waitUntil([&] { return !entry(Id).is_null(); });
  }

  LoopbackAddresses Addresses;
  TempFolder Folder;
  std::string Server;
  std::unique_ptr<FakeProcess> Fake;
};

} // namespace

TEST_F(FakeBackendServerTest, AnswersEachKindAndEchoesTheId) {
  const auto Rows = send("r1", "query", {{"merge", "rows"}});
  ASSERT_TRUE(Rows);
  EXPECT_EQ(Rows->Status, 200);
  EXPECT_EQ(*Rows->Headers.find("X-Request-Id"), "r1");
  const json Body = bodyOf(*Rows);
  EXPECT_EQ(Body["id"], "r1");
  EXPECT_EQ(Body["version"], 5);
  EXPECT_EQ(Body["to"], "b");
  EXPECT_EQ(Body["rows"].size(), 3u);
  EXPECT_EQ(bodyOf(*send("r2", "query", {{"merge", "count"}}))["count"], 3);
  const json Lookup =
      bodyOf(*send("r3", "query", {{"merge", "lookup"}, {"key", "a1"}}));
  EXPECT_EQ(Lookup["rows"][0]["key"], "a1");
}

TEST_F(FakeBackendServerTest, RefusesAnotherVersionOrEpochUnrun) {
  const auto Version = send("v", "query", {{"version", 4}});
  ASSERT_TRUE(Version);
  EXPECT_EQ(Version->Status, 409);
  EXPECT_EQ(bodyOf(*Version)["error"], "version");
  EXPECT_EQ(bodyOf(*Version)["newest"], 5);
  EXPECT_EQ(bodyOf(*send("e", "query", {{"epoch", 9}}))["error"], "epoch");
  EXPECT_FALSE(entry("v")["begun"].get<bool>());
  ASSERT_TRUE(Fake->setFaults("s0-a", {{"oldest", 4}, {"newest", 6}}));
  EXPECT_EQ(bodyOf(*send("w", "query", {{"version", 4}}))["version"], 4);
}

TEST_F(FakeBackendServerTest, JournalsCommandsAsExecutions) {
  const json Body = {{"key", "a1"}, {"command", {{"do", "wipe"}}}};
  EXPECT_EQ(send("c1", "command", Body)->Status, 200);
  const json Entry = entry("c1");
  EXPECT_EQ(Entry["kind"], "command");
  EXPECT_TRUE(Entry["executed"].get<bool>());
  EXPECT_EQ(Entry["command"]["do"], "wipe");
  EXPECT_EQ(Fake->get("/counters")["s0-a"]["executions"], 1);
}

TEST_F(FakeBackendServerTest, QueuesBeyondTheSlotsAndCancels) {
  ASSERT_TRUE(Fake->setFaults("s0-a", {{"service_time_ms", 60000}}));
  auto Running = sendAside("run", json::object());
  ASSERT_TRUE(waitForEntry("run"));
  auto Waiting = sendAside("wait", json::object());
  ASSERT_TRUE(waitForEntry("wait"));
  FetchCall Cancel;
  Cancel.Method = "DELETE";
  Cancel.Address = Server;
  Cancel.Target = "/v1/requests/wait";
  EXPECT_EQ(fetch(Cancel)->Status, 204);
  EXPECT_EQ(Waiting.get()->Status, 499);
  EXPECT_FALSE(entry("wait")["begun"].get<bool>());
  Cancel.Target = "/v1/requests/run";
  EXPECT_EQ(fetch(Cancel)->Status, 204);
  EXPECT_EQ(Running.get()->Status, 499);
  EXPECT_TRUE(entry("run")["begun"].get<bool>());
  EXPECT_FALSE(entry("run")["executed"].get<bool>());
}

TEST_F(FakeBackendServerTest, RefusesWhatHasNoTimeLeft) {
  EXPECT_EQ(send("d", "query", json::object(), 0)->Status, 504);
  EXPECT_FALSE(entry("d")["begun"].get<bool>());
}

TEST_F(FakeBackendServerTest, RefusesWhileSheddingDrainingOrStarting) {
  ASSERT_TRUE(Fake->setFaults("s0-a", {{"shed_share", 1}}));
  EXPECT_EQ(send("a", "query", json::object())->Status, 429);
  ASSERT_TRUE(Fake->setFaults("*", {{"shed_share", 0}, {"draining", true}}));
  EXPECT_EQ(bodyOf(*send("b", "query", json::object()))["error"], "draining");
  EXPECT_EQ(getJson(Server, "/health")["status"], "draining");
  ASSERT_TRUE(Fake->setFaults("*", {{"draining", false}, {"starting", true}}));
  EXPECT_EQ(bodyOf(*send("c", "query", json::object()))["error"], "starting");
  ASSERT_TRUE(Fake->setFaults("*", {{"reported_health", "ok"}}));
  EXPECT_EQ(getJson(Server, "/health")["status"], "ok");
}

TEST_F(FakeBackendServerTest, RefusesConnectionsBeyondTheLimit) {
  ASSERT_TRUE(Fake->setFaults("s0-a", {{"service_time_ms", 60000}}));
  std::vector<std::future<std::optional<HttpResponse>>> Held;
  Held.reserve(4);
  for (int I = 0; I < 4; ++I)
    Held.push_back(sendAside(absl::StrCat("h", I), json::object()));
  ASSERT_TRUE(waitUntil([&] { return Fake->journal().size() == 4; }));
  EXPECT_FALSE(send("beyond", "query", json::object()));
  EXPECT_EQ(Fake->get("/counters")["s0-a"]["connections"]["refused"], 1);
  ASSERT_TRUE(Fake->setFaults("s0-a", {{"close_connections", true}}));
  for (auto &Request : Held)
    EXPECT_FALSE(Request.get());
}

TEST_F(FakeBackendServerTest, ExecutesNothingWhenItClosesBefore) {
  for (const char *Fault :
       {"close_before_read", "close_after_headers", "close_before_execute"}) {
    ASSERT_TRUE(
        Fake->setFaults("s0-a", {{"exchange", Fault}, {"exchange_count", 1}}));
    EXPECT_FALSE(send(Fault, "command", {{"key", "a1"}})) << Fault;
  }
  EXPECT_EQ(Fake->get("/counters")["s0-a"]["executions"], 0);
  EXPECT_TRUE(send("after", "command", {{"key", "a1"}}));
}

TEST_F(FakeBackendServerTest, ExecutesWhenItClosesAfter) {
  for (const char *Fault : {"close_after_execute", "close_mid_reply"}) {
    ASSERT_TRUE(
        Fake->setFaults("s0-a", {{"exchange", Fault}, {"exchange_count", 1}}));
    EXPECT_FALSE(send(Fault, "command", {{"key", "a1"}})) << Fault;
    EXPECT_TRUE(entry(Fault)["executed"].get<bool>()) << Fault;
  }
}

TEST_F(FakeBackendServerTest, SpoilsReplies) {
  ASSERT_TRUE(Fake->setFaults("s0-a", {{"exchange", "wrong_id"}}));
  EXPECT_EQ(bodyOf(*send("x", "query", json::object()))["id"], "wrong-x");
  ASSERT_TRUE(Fake->setFaults("s0-a", {{"exchange", "malformed"}}));
  EXPECT_TRUE(bodyOf(*send("y", "query", json::object())).is_discarded());
  ASSERT_TRUE(
      Fake->setFaults("s0-a", {{"exchange", "cut"}, {"cut_bytes", 20}}));
  EXPECT_FALSE(send("z", "query", json::object()));
  ASSERT_TRUE(Fake->setFaults("s0-a", {{"exchange", "crossed"}}));
  auto First = sendAside("first", json::object());
  ASSERT_TRUE(waitForEntry("first"));
  ASSERT_TRUE(waitUntil([&] { return entry("first")["status"] == 200; }));
  EXPECT_EQ(bodyOf(*send("second", "query", json::object()))["id"], "first");
  EXPECT_EQ(bodyOf(*First.get())["id"], "second");
}

TEST_F(FakeBackendServerTest, FreezesAndGoesOn) {
  ASSERT_TRUE(Fake->setFaults("s0-a", {{"frozen", true}}));
  auto Frozen = sendAside("f", json::object());
  ASSERT_TRUE(waitUntil([&] {
    return Fake->get("/counters")["s0-a"]["connections"]["open"] == 1;
  }));
  EXPECT_TRUE(entry("f").is_null());
  ASSERT_TRUE(Fake->setFaults("s0-a", {{"frozen", false}}));
  EXPECT_EQ(Frozen.get()->Status, 200);
}

TEST_F(FakeBackendServerTest, DropsOffAndComesBack) {
  ASSERT_TRUE(Fake->setFaults("s0-a", {{"listening", false}}));
  EXPECT_FALSE(send("gone", "query", json::object()));
  ASSERT_TRUE(Fake->setFaults("s0-a", {{"listening", true}}));
  EXPECT_TRUE(send("back", "query", json::object()));
}

TEST_F(FakeBackendServerTest, RefusesUnknownFaults) {
  EXPECT_FALSE(Fake->setFaults("s0-a", {{"frozn", true}}));
  EXPECT_FALSE(Fake->setFaults("s0-a", {{"frozen", 1}}));
  EXPECT_FALSE(Fake->setFaults("nobody", {{"frozen", true}}));
}

TEST_F(FakeBackendServerTest, TakesAnotherSheet) {
  const json Servers = Fake->get("/servers")["servers"];
  EXPECT_EQ(Servers.size(), 2u);
  TestSheetShape Shape;
  Shape.Zones = {"a"};
  Shape.Shards = 1;
  json Sheet = makeTestSheet(Shape, Addresses);
  Sheet["services"][0]["epoch"] = 2;
  ASSERT_TRUE(Fake->post("/sheet", Sheet).is_object());
  const json Body = bodyOf(*send("e2", "query", {{"epoch", 2}}));
  EXPECT_EQ(Body["to"], "");
  EXPECT_EQ(Body["epoch"], 2);
}
