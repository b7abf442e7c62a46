#include "relay/CuttableServer.h"
#include "relay/RelayWithStore.h"
#include <array>

using namespace quetzallead;

namespace {

constexpr char SecretKey[] = "quetzallead/link-secret";
/// Callers are served as before from this time after a cut on.
constexpr Duration NoticeTime = absl::Seconds(1);
constexpr Duration AskTime = absl::Seconds(2);
/// A request that nobody can serve is rejected within this time.
constexpr Duration RejectTime = absl::Milliseconds(250);

/// The instance "i" and its peer "j" in one zone, each with its own connections
/// to the servers of one service: those of "i" can be cut.
class LostServersTest : public RelayWithStore {
protected:
  explicit LostServersTest(HomePolicy Homes = {})
      : RelayWithStore(absl::StrCat("127.0.0.1:", freePort())) {
    // The fixture's own server gets no requests.
    putServer("i-1", "draining");
    PeerPort = freePort();
    RelaySettings PeerSettings =
        settings("j", PeerPort, absl::StrCat("127.0.0.1:", freePort()));
    PeerSettings.StoreAddress = PeerStore.address();
    PeerSettings.Homes = Homes;
    PeerStore.put("op/config", sheet(3, "/"));
    for (std::size_t I = 0; I < Servers.size(); ++I) {
      putServerTo(Store, I, Servers[I].address());
      putServerTo(PeerStore, I, PeerServers[I].address());
    }
    // The instances follow stores of their own, which list different servers.
    registerTo(Store, "j", PeerSettings.LinkListen);
    registerTo(PeerStore, "i", LinkListen);
    await([&] { return !Store.value(SecretKey).empty(); });
    PeerStore.put(SecretKey, Store.value(SecretKey));
    Peer = startListening(PeerSettings);
    PeerThread = std::thread([this] { Peer->run(); });
    await([&] { return served(CallerPort, Servers); });
    await([&] { return served(PeerPort, PeerServers); });
  }
  ~LostServersTest() override {
    std::raise(SIGTERM);
    PeerThread.join();
    Peer.reset();
  }

  using ServerSet = std::array<CuttableServer, 6>;

  static void putServerTo(FakeStore &S, std::size_t I,
                          const std::string &Address) {
    S.put(absl::StrCat("servers/s-", I),
          absl::StrCat(R"({"service": "x", "zone": "a", "slots": 8, )",
                       R"("born": 1, "state": "ready", "address": ")", Address,
                       "\"}"));
  }
  static void registerTo(FakeStore &S, const std::string &Name,
                         const std::string &Link) {
    S.put(absl::StrCat("quetzallead/instances/", Name),
          encodeInstanceRecord(InstanceRecord{Name, "a", Link, 1}));
  }
  static int requestsAt(const ServerSet &Set) {
    int Sum = 0;
    for (const CuttableServer &S : Set)
      Sum += S.Requests;
    return Sum;
  }
  /// Whether a request to \p Port is served by one of \p Set.
  bool served(int Port, const ServerSet &Set) {
    const int Before = requestsAt(Set);
    return ask("/a", Port) == 200 && requestsAt(Set) > Before;
  }
  static void cut(ServerSet &Set, NetworkCut Cut) {
    for (CuttableServer &S : Set)
      S.cut(Cut);
  }
  /// Lets eight callers ask at \p Port for \p Time; returns the share of the
  /// requests that were served.
  double shareServed(int Port, Duration Time) {
    std::atomic<int> Asked{0};
    std::atomic<int> Served{0};
    const absl::Time End = absl::Now() + Time;
    std::array<std::thread, 8> Callers;
    for (std::thread &Caller : Callers)
      Caller = std::thread([&] {
        while (absl::Now() < End) {
          ++Asked;
          Served += ask("/a", Port) == 200 ? 1 : 0;
          absl::SleepFor(absl::Milliseconds(20));
        }
      });
    for (std::thread &Caller : Callers)
      Caller.join();
    return static_cast<double>(Served) / Asked;
  }
  /// Cuts the servers of "i" off while callers ask, and expects that the
  /// callers at \p Port are served in spite of it.
  void expectServedAfter(NetworkCut Cut, int Port) {
    cut(Servers, Cut);
    shareServed(Port, NoticeTime);
    EXPECT_GE(shareServed(Port, AskTime), 0.95);
    EXPECT_EQ(ask("/a", PeerPort), 200u);
    // The instance uses its own connections again.
    cut(Servers, NetworkCut::None);
    await([&] { return served(CallerPort, Servers); });
  }

  ServerSet Servers;
  ServerSet PeerServers;
  FakeStore PeerStore;
  int PeerPort = 0;
  std::unique_ptr<RelayDaemon> Peer;
  std::thread PeerThread;
};

/// Two homes, of which "i" can lose its servers, and an instance "k" that
/// forwards to them.
class LostServersOfAHomeTest : public LostServersTest {
protected:
  LostServersOfAHomeTest() : LostServersTest(policy()) {
    AskerPort = freePort();
    RelaySettings AskerSettings =
        settings("k", AskerPort, absl::StrCat("127.0.0.1:", freePort()));
    AskerSettings.StoreAddress = PeerStore.address();
    AskerSettings.Homes = policy();
    Asker = startListening(AskerSettings);
    AskerThread = std::thread([this] { Asker->run(); });
    await([&] { return served(AskerPort, Servers); });
  }
  ~LostServersOfAHomeTest() override {
    std::raise(SIGTERM);
    AskerThread.join();
    Asker.reset();
  }
  static HomePolicy policy() {
    HomePolicy Policy;
    Policy.PerZone = 2;
    Policy.SparesPerZone = 0;
    Policy.AllUpTo = 0;
    return Policy;
  }

  int AskerPort = 0;
  std::unique_ptr<RelayDaemon> Asker;
  std::thread AskerThread;
};

} // namespace

TEST_F(LostServersTest, CallersFailedWhileConnectionsToServersHung) {
  expectServedAfter(NetworkCut::Silent, CallerPort);
}

TEST_F(LostServersTest, CallersFailedAfterConnectionsToServersWereReset) {
  expectServedAfter(NetworkCut::Reset, CallerPort);
}

TEST_F(LostServersTest, CallersFailedOnceOpenConnectionsHadRunOut) {
  for (CuttableServer &S : Servers)
    S.ClosesConnections = true;
  expectServedAfter(NetworkCut::Refuse, CallerPort);
}

TEST_F(LostServersOfAHomeTest, CallersOfAnotherInstanceFailedWithTheHome) {
  expectServedAfter(NetworkCut::Reset, AskerPort);
}

TEST_F(LostServersTest, RequestsAreRejectedAtOnceIfNobodyHasServers) {
  cut(Servers, NetworkCut::Silent);
  cut(PeerServers, NetworkCut::Silent);
  shareServed(CallerPort, NoticeTime);
  shareServed(PeerPort, NoticeTime);
  for (int I = 0; I < 5; ++I) {
    const absl::Time SentAt = absl::Now();
    EXPECT_EQ(ask("/a", CallerPort), 503u);
    EXPECT_LT(absl::Now() - SentAt, RejectTime);
  }
  cut(Servers, NetworkCut::None);
  cut(PeerServers, NetworkCut::None);
  absl::SleepFor(NoticeTime);
  EXPECT_EQ(ask("/a", CallerPort), 200u);
  EXPECT_EQ(ask("/a", PeerPort), 200u);
}
