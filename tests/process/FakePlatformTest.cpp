#include "absl/strings/str_cat.h"
#include "support/FakeProcess.h"
#include "support/Fetch.h"
#include "support/LoopbackAddresses.h"
#include "support/WaitUntil.h"
#include <future>
#include <gtest/gtest.h>

using namespace quetzallead;
using nlohmann::json;

namespace {

class FakePlatformTest : public testing::Test {
protected:
  void SetUp() override {
    LoopbackAddresses Addresses;
    Address = Addresses.next();
    Fake = FakeProcess::startPlatform(
        {"--listen", Address, "--admin", Addresses.next()});
    ASSERT_NE(Fake, nullptr);
  }

  std::optional<HttpResponse> call(const std::string &Method,
                                   const std::string &Target,
                                   const std::string &Body = "") {
    FetchCall Call;
    Call.Method = Method;
    Call.Address = Address;
    Call.Target = Target;
    Call.Body = Body;
    return fetch(Call);
  }

  std::string put(const std::string &Target, const std::string &Body) {
    const auto Answer = call("PUT", Target, Body);
    return Answer ? Answer->Body : "no answer";
  }

  std::string indexOf(const std::string &Target) {
    return *call("GET", Target)->Headers.find("X-Consul-Index");
  }

  std::future<json> watch(const std::string &Target) {
    const auto Waiting = [this] {
      return Fake->get("/counters")["waiting_watches"] == 1;
    };
    auto Answer = std::async(std::launch::async, [this, Target] {
      return getJson(Address, Target + "&wait=60s");
    });
    EXPECT_TRUE(waitUntil(Waiting));
    return Answer;
  }

  void setFaults(const json &Faults) {
    EXPECT_TRUE(Fake->post("/faults", Faults).is_object());
  }

  std::string Address;
  std::unique_ptr<FakeProcess> Fake;
};

constexpr const char *Key = "/v1/kv/quetzallead/sheet";

json registration(const std::string &Node) {
  return {{"Node", Node},
          {"Address", "127.0.0.1"},
          {"Service",
           {{"Service", "backend"}, {"Port", 7}, {"Meta", {{"zone", "a"}}}}}};
}

} // namespace

TEST_F(FakePlatformTest, ComparesAndSwaps) {
  EXPECT_EQ(call("GET", Key)->Status, 404);
  EXPECT_EQ(put(absl::StrCat(Key, "?cas=0"), "one"), "true");
  EXPECT_EQ(put(absl::StrCat(Key, "?cas=0"), "two"), "false");
  const std::string Index = indexOf(Key);
  EXPECT_EQ(put(absl::StrCat(Key, "?cas=", Index), "two"), "true");
  EXPECT_EQ(put(absl::StrCat(Key, "?cas=", Index), "three"), "false");
  EXPECT_EQ(getJson(Address, Key)[0]["Value"], "dHdv");
}

TEST_F(FakePlatformTest, AWatchEndsWithTheNextChange) {
  put(Key, "one");
  auto Answer = watch(absl::StrCat(Key, "?index=", indexOf(Key)));
  put(Key, "two");
  EXPECT_EQ(Answer.get()[0]["Value"], "dHdv");
  EXPECT_EQ(Fake->get("/counters")["kv_watch"], 1);
}

TEST_F(FakePlatformTest, ALapsedSessionLosesItsKeys) {
  const json Made = bodyOf(*call("PUT", "/v1/session/create",
                                 R"({"TTL": "60s", "Behavior": "delete"})"));
  const std::string Id = Made["ID"];
  EXPECT_EQ(put(absl::StrCat("/v1/kv/lock?acquire=", Id), "me"), "true");
  EXPECT_EQ(call("PUT", "/v1/session/renew/" + Id)->Status, 200);
  EXPECT_EQ(call("PUT", "/v1/kv/lock?acquire=other", "x")->Status, 500);
  EXPECT_TRUE(Fake->post("/lapse", {{"session", Id}}).is_object());
  EXPECT_EQ(call("GET", "/v1/kv/lock")->Status, 404);
  EXPECT_EQ(call("PUT", "/v1/session/renew/" + Id)->Status, 404);
}

TEST_F(FakePlatformTest, ListsNodesAndCanLag) {
  const std::string List = "/v1/catalog/service/backend";
  put("/v1/catalog/register", registration("n1").dump());
  auto Answer = watch(absl::StrCat(List, "?index=", indexOf(List)));
  put("/v1/catalog/register", registration("n2").dump());
  EXPECT_EQ(Answer.get().size(), 2u);
  setFaults({{"frozen_list", true}});
  put("/v1/catalog/deregister", R"({"Node": "n1"})");
  EXPECT_EQ(getJson(Address, List).size(), 2u);
  setFaults({{"frozen_list", false}, {"hidden_nodes", {"n2"}}});
  EXPECT_EQ(getJson(Address, List).size(), 0u);
  setFaults({{"hidden_nodes", json::array()}});
  EXPECT_EQ(getJson(Address, List)[0]["ServicePort"], 7);
}

TEST_F(FakePlatformTest, LosesAnswersAfterTheWrite) {
  setFaults({{"lose_write_answers", 1}});
  EXPECT_EQ(put(Key, "one"), "no answer");
  EXPECT_EQ(getJson(Address, Key)[0]["Value"], "b25l");
  EXPECT_EQ(put(Key, "two"), "true");
}

TEST_F(FakePlatformTest, IsDownInThreeWays) {
  put(Key, "one");
  setFaults({{"outage", "refuse"}});
  EXPECT_FALSE(call("GET", Key));
  setFaults({{"outage", "error"}});
  EXPECT_EQ(call("GET", Key)->Status, 500);
  setFaults({{"outage", "hang"}});
  auto Hung = std::async(std::launch::async,
                         [this] { return call("PUT", Key, "late"); });
  ASSERT_TRUE(
      waitUntil([this] { return Fake->get("/counters")["hung"] == 1; }));
  setFaults({{"outage", "none"}});
  EXPECT_FALSE(Hung.get());
  EXPECT_EQ(getJson(Address, Key)[0]["Value"], "b25l");
}

TEST_F(FakePlatformTest, RestoresAnOlderState) {
  put(Key, "one");
  const std::string Index = indexOf(Key);
  Fake->post("/snapshot", json::object());
  put(Key, "two");
  Fake->post("/restore", json::object());
  EXPECT_EQ(getJson(Address, Key)[0]["Value"], "b25l");
  EXPECT_EQ(indexOf(Key), Index);
}
