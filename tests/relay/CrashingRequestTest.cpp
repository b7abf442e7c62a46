#include "relay/RelayWithStore.h"
#include <algorithm>
#include <array>

using namespace quetzallead;

namespace {

/// Most servers that may end under one request, whose sheet allows two
/// attempts, when it comes to one instance, and when it comes to all at once.
constexpr int MaxCrashesAtOneInstance = 3;
constexpr int MaxCrashes = 6;

class CrashingRequestTest : public RelayWithStore {
protected:
  explicit CrashingRequestTest(const std::string &GivenLinkListen = "")
      : RelayWithStore(GivenLinkListen) {
    for (std::size_t I = 0; I < Servers.size(); ++I)
      putServer(absl::StrCat("s-", I), "ready", Servers[I], 1);
    putServer("i-1", "draining");
  }

  int crashes() const {
    return static_cast<int>(std::count_if(
        Servers.begin(), Servers.end(),
        [](const PathEchoServer &S) { return S.Crashed.load(); }));
  }
  int requestsAtServers() const {
    int Sum = 0;
    for (const PathEchoServer &S : Servers)
      Sum += S.Requests;
    return Sum;
  }
  /// Waits until the instance at \p Port has reached more servers than may end.
  /// It learns of servers in batches: the first may hold just one of them.
  void awaitServers(int Port) {
    await([&] { return ask("/a", Port) == 200; });
    std::array<int, 12> Before{};
    for (std::size_t I = 0; I < Servers.size(); ++I)
      Before[I] = Servers[I].Requests;
    await([&] {
      ask("/a", Port);
      int Reached = 0;
      for (std::size_t I = 0; I < Servers.size(); ++I)
        Reached += Servers[I].Requests > Before[I] ? 1 : 0;
      return Reached > MaxCrashes;
    });
  }

  std::array<PathEchoServer, 12> Servers;
};

class CrashingRequestAtTwoInstancesTest : public CrashingRequestTest {
protected:
  CrashingRequestAtTwoInstancesTest()
      : CrashingRequestTest(absl::StrCat("127.0.0.1:", freePort())) {
    OtherPort = freePort();
    Other = startListening(
        settings("j", OtherPort, absl::StrCat("127.0.0.1:", freePort())));
    OtherThread = std::thread([this] { Other->run(); });
  }
  ~CrashingRequestAtTwoInstancesTest() override {
    std::raise(SIGTERM);
    OtherThread.join();
    Other.reset();
  }

  int OtherPort = 0;
  std::unique_ptr<RelayDaemon> Other;
  std::thread OtherThread;
};

} // namespace

TEST_F(CrashingRequestTest, RepeatsOfARequestEndedOneServerAfterAnother) {
  awaitServers(CallerPort);
  for (int I = 0; I < 10; ++I)
    EXPECT_GE(ask("/crash", CallerPort), 500u);
  EXPECT_LE(crashes(), MaxCrashesAtOneInstance);
  // Known not to be served: rejected at once, and no server sees it.
  const int Before = requestsAtServers();
  EXPECT_EQ(ask("/crash", CallerPort), 503u);
  EXPECT_EQ(requestsAtServers(), Before);
  EXPECT_EQ(ask("/a", CallerPort), 200u);
}

TEST_F(CrashingRequestTest, RequestsThatRanBesideItAreServed) {
  awaitServers(CallerPort);
  for (int I = 0; I < 5; ++I) {
    std::array<std::thread, 8> Callers;
    std::array<unsigned, 8> Statuses{};
    for (std::size_t C = 0; C < Callers.size(); ++C)
      Callers[C] =
          std::thread([&, C] { Statuses[C] = ask("/slow", CallerPort); });
    absl::SleepFor(absl::Milliseconds(100));
    ask("/crash", CallerPort);
    for (std::thread &Caller : Callers)
      Caller.join();
    // A request may meet two ends; it may not be rejected as their cause.
    EXPECT_EQ(std::count(Statuses.begin(), Statuses.end(), 503u), 0);
  }
  EXPECT_EQ(ask("/slow", CallerPort), 200u);
  EXPECT_LE(crashes(), MaxCrashesAtOneInstance);
}

TEST_F(CrashingRequestAtTwoInstancesTest, RepeatsAtTheOtherInstanceEndedMore) {
  awaitServers(CallerPort);
  awaitServers(OtherPort);
  for (int I = 0; I < 10; ++I)
    ask("/crash", I % 2 == 0 ? CallerPort : OtherPort);
  EXPECT_LE(crashes(), MaxCrashes);
  const int Before = requestsAtServers();
  EXPECT_EQ(ask("/crash", CallerPort), 503u);
  EXPECT_EQ(ask("/crash", OtherPort), 503u);
  EXPECT_EQ(requestsAtServers(), Before);
  EXPECT_EQ(ask("/a", OtherPort), 200u);
}
