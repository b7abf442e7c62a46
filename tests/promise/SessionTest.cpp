#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "core/session/KeyRing.h"
#include "core/session/SessionToken.h"
#include "support/ChildProcess.h"
#include "support/FakeProcess.h"
#include "support/Fetch.h"
#include "support/TestDaemon.h"
#include "support/TestFleet.h"
#include "support/WaitUntil.h"
#include <gtest/gtest.h>

using namespace quetzallead;
using nlohmann::json;

namespace {

constexpr Duration Lifetime = absl::Hours(1);

/// A session as its caller holds it.
struct HeldSession {
  std::string Token;
  std::uint64_t Seen = 0;
};

/// Three instances and one session carried from one to the other.
class Session : public testing::Test {
protected:
  Session() : Fleet(options()) {}

  static TestFleetOptions options() {
    TestFleetOptions Options;
    Options.Shape.Shards = 2;
    Options.Shape.TimeoutMs = 1000;
    Options.Shape.CoverageWaitMs = 1000;
    Options.Shape.LeastCoverage = 0.5;
    Options.BackendArguments = {"--version", "10", "--service-time-ms", "2"};
    return Options;
  }

  void SetUp() override { ASSERT_TRUE(Fleet.start()) << Fleet.problem(); }

  static std::string headerOf(const HttpResponse &Response, const char *Name) {
    const std::string *Value = Response.Headers.find(Name);
    return Value == nullptr ? std::string() : *Value;
  }

  HeldSession open(std::size_t Index) {
    FetchCall Call;
    Call.Method = "POST";
    Call.Address = Fleet.daemon(Index).Caller;
    Call.Target = "/v1/sessions";
    Call.Body = "{}";
    const auto Answer = fetch(Call);
    EXPECT_TRUE(Answer && Answer->Status == 201);
    HeldSession Held;
    if (Answer)
      Held.Token = headerOf(*Answer, "Quetzallead-Session");
    EXPECT_FALSE(Held.Token.empty());
    return Held;
  }

  std::optional<HttpResponse> askWith(std::size_t Index, const char *Kind,
                                      const json &Body,
                                      const std::string &Token) {
    HttpFields Headers;
    Headers.add("Quetzallead-Session", Token);
    Headers.add("Idempotency-Key", Fleet.ticket(Index));
    return Fleet.ask(Index, Kind, Body, Headers);
  }

  /// A survey in the session, which goes on with what it learned. Its status.
  int goOn(std::size_t Index, HeldSession &Held) {
    const auto Answer = askWith(Index, "survey", json::object(), Held.Token);
    if (!Answer)
      return 0;
    const std::string Next = headerOf(*Answer, "Quetzallead-Session");
    EXPECT_EQ(Next.empty(), Answer->Status == 401);
    if (!Next.empty())
      Held.Token = Next;
    const json Body = bodyOf(*Answer);
    if (Answer->Status != 200 || Body["coverage"]["covered"] == 0)
      return Answer->Status;
    const std::uint64_t Version = Body["snapshot"]["version"];
    EXPECT_GE(Version, Held.Seen) << "instance " << Index << " went back";
    Held.Seen = Version;
    return Answer->Status;
  }

  void goOnEverywhere(HeldSession &Held) {
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      EXPECT_EQ(goOn(Index, Held), 200) << "instance " << Index;
  }

  void hold(const std::string &Server, int Oldest, int Newest) {
    ASSERT_TRUE(Fleet.backend().setFaults(
        Server, {{"oldest", Oldest}, {"newest", Newest}}));
  }

  void replace(std::size_t Index) {
    Fleet.daemon(Index).Process->kill();
    Fleet.daemon(Index).Process->wait(GenerousLimit);
    ASSERT_TRUE(Fleet.startDaemon(Index)) << Fleet.logs();
  }

  /// Restarts every instance as planned; the session goes on everywhere in
  /// between.
  void restartOneByOne(HeldSession &Held) {
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
      Fleet.daemon(Index).Process->terminate();
      EXPECT_EQ(Fleet.daemon(Index).Process->wait(GenerousLimit), 0);
      ASSERT_TRUE(Fleet.startDaemon(Index)) << Fleet.logs();
      goOnEverywhere(Held);
    }
  }

  static json keyOf(const std::string &Id, const std::string &Secret,
                    const std::string &NotBefore) {
    return {{"id", Id},
            {"secret", absl::Base64Escape(Secret)},
            {"not_before", NotBefore}};
  }

  /// A token signed with \p Secret as the key \p Id.
  static std::string signedWith(const std::string &Id,
                                const std::string &Secret, TimePoint Issued) {
    std::mt19937_64 Engine(1);
    const KeyRing Keys =
        *KeyRing::make({SigningKey{Id, Secret, absl::InfinitePast()}});
    const SessionToken Token = *openSession("", Issued, Lifetime, Engine);
    return issueSession(Keys, Token, Issued);
  }

  static std::string fleetSecret() {
    std::string Secret;
    absl::Base64Unescape(TestFleet::firstKey()["secret"].get<std::string>(),
                         &Secret);
    return Secret;
  }

  void expectRefused(std::size_t Index, const std::string &Token) {
    for (const char *Kind : {"survey", "lookup", "command"}) {
      json Body = json::object();
      if (std::string(Kind) != "survey")
        Body["key"] = "a1";
      if (std::string(Kind) == "command")
        Body["command"] = {{"n", 1}};
      const auto Answer = askWith(Index, Kind, Body, Token);
      ASSERT_TRUE(Answer);
      EXPECT_EQ(Answer->Status, 401) << Kind << " with " << Token;
      EXPECT_EQ(bodyOf(*Answer).value("run_state", ""), "not_run");
      EXPECT_EQ(headerOf(*Answer, "Quetzallead-Session"), "");
    }
  }

  TestFleet Fleet;
};

} // namespace

TEST_F(Session, GoesOnAfterItsInstanceIsKilledAndReplaced) {
  HeldSession Held = open(0);
  goOnEverywhere(Held);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
    Fleet.daemon(Index).Process->kill();
    Fleet.daemon(Index).Process->wait(GenerousLimit);
    EXPECT_EQ(goOn((Index + 1) % Fleet.size(), Held), 200);
    ASSERT_TRUE(Fleet.startDaemon(Index)) << Fleet.logs();
    goOnEverywhere(Held);
  }
}

TEST_F(Session, NeverSeesAnOlderVersionWhileReplicasMoveOneByOne) {
  HeldSession Held = open(0);
  std::size_t Index = 0;
  int Answered = 0;
  for (int Version = 11; Version <= 14; ++Version) {
    for (const char *Zone : {"a", "b", "c"})
      for (int Shard = 0; Shard < 2; ++Shard) {
        hold(absl::StrCat("s", Shard, "-", Zone), Version, Version);
        for (int I = 0; I < 4; ++I)
          Answered += goOn(Index++ % Fleet.size(), Held) == 200 ? 1 : 0;
      }
    replace(static_cast<std::size_t>(Version) % Fleet.size());
  }
  EXPECT_GT(Answered, 0);
  EXPECT_EQ(Held.Seen, 14u);
}

TEST_F(Session, NeverSeesAnOlderVersionWhenOnlyThatIsLeft) {
  HeldSession Held = open(0);
  hold("*", 11, 11);
  goOnEverywhere(Held);
  EXPECT_EQ(Held.Seen, 11u);
  // All replicas are put back, as by a restore from a backup.
  hold("*", 10, 10);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
    const auto Answer = askWith(Index, "survey", json::object(), Held.Token);
    ASSERT_TRUE(Answer);
    const json Body = bodyOf(*Answer);
    if (Answer->Status == 200) {
      EXPECT_EQ(Body["rows"], json::array()) << Body;
    }
    const auto Lookup = askWith(Index, "lookup", {{"key", "a1"}}, Held.Token);
    ASSERT_TRUE(Lookup);
    if (Lookup->Status == 200) {
      EXPECT_EQ(bodyOf(*Lookup)["rows"], json::array()) << Lookup->Body;
    }
  }
  // A session that has seen nothing is served.
  HeldSession Fresh = open(1);
  EXPECT_EQ(goOn(1, Fresh), 200);
  EXPECT_EQ(Fresh.Seen, 10u);
}

TEST_F(Session, IsRefusedIfForgedAlteredOrExpired) {
  const HeldSession Held = open(0);
  const TimePoint Now = absl::Now();
  std::vector<std::string> Bad = {
      "k1",
      "k1.AAAA.AAAA",
      signedWith("k1", "a-key-that-is-not-the-fleets-00000001", Now),
      signedWith("k9", fleetSecret(), Now),
      signedWith("k1", fleetSecret(), Now - Lifetime - absl::Minutes(1)),
      Held.Token + "A",
      Held.Token.substr(0, Held.Token.size() - 1),
  };
  constexpr std::size_t AlteredEvery = 17;
  for (std::size_t At = 0; At < Held.Token.size(); At += AlteredEvery) {
    Bad.push_back(Held.Token);
    Bad.back()[At] = Bad.back()[At] == 'A' ? 'B' : 'A';
  }
  for (std::size_t I = 0; I < Bad.size(); ++I)
    expectRefused(I % Fleet.size(), Bad[I]);
  EXPECT_EQ(Fleet.backend().journal().size(), 0u);
  // The same way of signing is good with the fleet's key and a time to come.
  HeldSession Good{signedWith("k1", fleetSecret(), Now)};
  goOnEverywhere(Good);
}

TEST_F(Session, LivesThroughTheRotationOfTheKey) {
  const std::string Secret = "session-key-of-the-tests-00000000002";
  const std::string Later = absl::FormatTime(
      absl::RFC3339_sec, absl::Now() + absl::Hours(1), absl::UTCTimeZone());
  const std::string Past = absl::FormatTime(
      absl::RFC3339_sec, absl::Now() - absl::Hours(1), absl::UTCTimeZone());
  HeldSession Held = open(0);
  const HeldSession Forgotten = Held;
  goOnEverywhere(Held);
  Fleet.writeSecrets({TestFleet::firstKey(), keyOf("k2", Secret, Later)});
  restartOneByOne(Held);
  EXPECT_EQ(Held.Token.substr(0, 3), "k1.");
  Fleet.writeSecrets({TestFleet::firstKey(), keyOf("k2", Secret, Past)});
  restartOneByOne(Held);
  EXPECT_EQ(Held.Token.substr(0, 3), "k2.");
  Fleet.writeSecrets(json::array({keyOf("k2", Secret, Past)}));
  restartOneByOne(Held);
  expectRefused(0, Forgotten.Token);
}
