#include "relay/RelayDaemon.h"
#include "absl/time/clock.h"
#include "platform/PlatformDeployment.h"
#include "relay/PathEchoServer.h"
#include "runtime/Logger.h"
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdio>
#include <gtest/gtest.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace quetzallead;
using boost::asio::ip::tcp;

namespace {

const char *const Sheet = R"({"version": 3, "routes": [
  {"name": "r", "host": "h", "prefix": "/", "type": "idempotent",
   "timeout_ms": 3000, "slo_ms": 1000, "priority": 1, "service": "x",
   "max_attempts": 2}],
  "services": [{"name": "x", "max_conns": 26}],
  "limits": {"max_header_bytes": 2000, "max_body_bytes": 1000,
             "header_timeout_ms": 300, "idle_timeout_ms": 2000}})";

/// A store with a fixed content of one sheet and one server.
class StaticStore : public RevisionedStore {
public:
  StaticStore(std::string GivenServer, std::vector<StoreItem> GivenTier)
      : Server(std::move(GivenServer)), Tier(std::move(GivenTier)) {}

  void read(const std::string &Prefix, const std::string &, bool,
            PageCallback Done) override {
    StorePage Page;
    Page.Outcome = StoreOutcome::Done;
    Page.Revision = 5;
    if (Prefix == "quetzallead/") {
      Page.Items = Tier;
      Page.Outcome =
          TierUnreadable ? StoreOutcome::Rejected : StoreOutcome::Done;
    }
    if (Prefix == "op/")
      Page.Items = {StoreItem{"op/config", Sheet, 4, false}};
    if (Prefix == "servers/")
      Page.Items = {StoreItem{
          "servers/i-1",
          R"({"service": "x", "zone": "a", "slots": 8, "state": "ready",
              "address": ")" +
              Server + "\"}",
          5, false}};
    Done(Page);
  }
  void watch(const std::string &, std::uint64_t, Duration, Duration,
             PageCallback) override {}
  void grantLease(Duration, ReplyCallback Done) override {
    Done(StoreReply{StoreOutcome::Done, 1});
  }
  void renewLease(std::uint64_t, ReplyCallback Done) override {
    Done(StoreReply{StoreOutcome::Done, 1});
  }
  void endLease(std::uint64_t, ReplyCallback Done) override {
    Done(StoreReply{StoreOutcome::Done, 0});
  }
  void put(const std::string &, const std::string &, std::uint64_t,
           ReplyCallback Done) override {
    Done(StoreReply{StoreOutcome::Done, 0});
  }
  void create(const std::string &, const std::string &,
              ReplyCallback Done) override {
    Done(StoreReply{StoreOutcome::Done, 0});
  }

  /// Rejects reads of what the instances have stored.
  static std::atomic<bool> TierUnreadable;

private:
  std::string Server;
  /// What the instances have stored.
  std::vector<StoreItem> Tier;
};

std::atomic<bool> StaticStore::TierUnreadable{false};

/// Runs a relay on its own thread and provides caller connections to it.
class RelayDaemonTest : public testing::Test {
protected:
  RelayDaemonTest() : RelayDaemonTest(0) {}

  /// The relay is the only home of its zone and takes requests from other
  /// instances at \p GivenLinkPort, unless that is 0.
  explicit RelayDaemonTest(int GivenLinkPort) : LinkPort(GivenLinkPort) {
    if (LinkPort != 0) {
      const InstanceRecord Home{"i", "a", local(LinkPort), 1};
      Tier = {StoreItem{"quetzallead/instances/i", encodeInstanceRecord(Home),
                        3, false},
              StoreItem{"quetzallead/link-secret", "secret", 2, false}};
      Settings.LinkListen = Home.LinkAddress;
    }
    Settings.Instance = "i";
    Settings.Zone = "a";
    CallerPort = freePort();
    ReadinessPort = freePort();
    MetricsPort = freePort();
    Settings.CallerListen = local(CallerPort);
    Settings.ReadinessListen = local(ReadinessPort);
    Settings.MetricsListen = local(MetricsPort);
    Settings.StoreAddress = "127.0.0.1:1";
    Settings.StopGrace = absl::Seconds(3);
    Relay = startRelay(Settings);
    RelayThread = std::thread([this] { Relay->run(); });
  }
  ~RelayDaemonTest() override {
    if (RelayThread.joinable())
      stop();
  }

  static std::string local(int Port) {
    return "127.0.0.1:" + std::to_string(Port);
  }

  /// Creates a relay that listens, but does not run yet.
  std::unique_ptr<RelayDaemon> startRelay(const RelaySettings &ItsSettings) {
    Deployment Environment = platformDeployment();
    Environment.MakeStore = [this](boost::asio::io_context &, LoopTimers &,
                                   const std::string &, Duration,
                                   MemoryGuard *) {
      return std::make_unique<StaticStore>(Backend.address(), Tier);
    };
    auto Out =
        std::make_unique<RelayDaemon>(ItsSettings, std::move(Environment));
    auto Bound = capture([&] { return Out->listen(); });
    EXPECT_TRUE(std::holds_alternative<bool>(Bound));
    return Out;
  }

  void stop() {
    std::raise(SIGTERM);
    RelayThread.join();
    // Closes the connections to the backend server, whose threads then exit.
    Relay.reset();
  }

  tcp::socket connect(int Port) {
    tcp::socket Socket(Loop);
    Socket.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                 static_cast<std::uint16_t>(Port)));
    return Socket;
  }

  static void send(tcp::socket &Socket, const std::string &Text) {
    boost::system::error_code Ignored;
    boost::asio::write(Socket, boost::asio::buffer(Text), Ignored);
  }

  static std::string encodeGet(const std::string &Path) {
    return "GET " + Path +
           " HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nDeadline-Ms: 2500\r\n\r\n";
  }

  /// Reads the head of the next response and at least \p Bytes bytes of its
  /// body.
  static std::string receive(tcp::socket &Socket, std::size_t Bytes) {
    std::string Text;
    boost::system::error_code Fault;
    std::size_t End = boost::asio::read_until(
        Socket, boost::asio::dynamic_buffer(Text), "\r\n\r\n", Fault);
    while (!Fault && Text.size() < End + Bytes) {
      char Buffer[512];
      const std::size_t Count =
          Socket.read_some(boost::asio::buffer(Buffer), Fault);
      Text.append(Buffer, Count);
    }
    return Text;
  }

  static bool closedByPeer(tcp::socket &Socket) {
    char Byte = 0;
    boost::system::error_code Fault;
    Socket.read_some(boost::asio::buffer(&Byte, 1), Fault);
    return Fault == boost::asio::error::eof;
  }

  boost::asio::io_context Loop;
  PathEchoServer Backend;
  RelaySettings Settings;
  const int LinkPort;
  std::vector<StoreItem> Tier;
  int CallerPort = 0;
  int ReadinessPort = 0;
  int MetricsPort = 0;
  std::unique_ptr<RelayDaemon> Relay;
  std::thread RelayThread;
};

/// Makes what the instances have stored unreadable. Must be constructed before
/// the relay.
class UnreadableTier {
protected:
  UnreadableTier() { StaticStore::TierUnreadable = true; }
  ~UnreadableTier() { StaticStore::TierUnreadable = false; }
  UnreadableTier(const UnreadableTier &) = delete;
  UnreadableTier &operator=(const UnreadableTier &) = delete;
};

/// Adds an instance that is no home and forwards to the relay.
class RelayHomeTest : public RelayDaemonTest {
protected:
  RelayHomeTest() : RelayDaemonTest(freePort()) {
    RelaySettings Asking = Settings;
    Asking.Instance = "asker";
    Asking.Homes.PerZone = 1;
    Asking.Homes.SparesPerZone = 0;
    Asking.Homes.AllUpTo = 0;
    AskerPort = freePort();
    Asking.CallerListen = local(AskerPort);
    Asking.ReadinessListen = local(freePort());
    Asking.MetricsListen = local(freePort());
    Asking.LinkListen = local(freePort());
    Asker = startRelay(Asking);
    AskerThread = std::thread([this] { Asker->run(); });
  }
  ~RelayHomeTest() override {
    stop();
    AskerThread.join();
    Asker.reset();
  }

  /// Sends \p Request to the asking instance until it is not rejected, which
  /// it may be while the instances start.
  std::string ask(const std::string &Request, std::size_t Bytes) {
    std::string Answer;
    for (int Try = 0; Try < 200; ++Try) {
      tcp::socket Caller = connect(AskerPort);
      send(Caller, Request);
      Answer = receive(Caller, Bytes);
      if (Answer.find(" 503 ") == std::string::npos)
        return Answer;
      absl::SleepFor(absl::Milliseconds(10));
    }
    return Answer;
  }

  int AskerPort = 0;
  std::unique_ptr<RelayDaemon> Asker;
  std::thread AskerThread;
};

/// Starts a home that cannot read what the instances have stored.
class RelayStartTest : protected UnreadableTier, public RelayDaemonTest {
protected:
  RelayStartTest() : RelayDaemonTest(freePort()) {}
};

/// Redirects the log into a pipe that nobody reads. Must be constructed before
/// the relay and destroyed after it.
class UnreadLogPipe {
protected:
  UnreadLogPipe() {
    EXPECT_EQ(pipe(Pipe), 0);
    std::fflush(stdout);
    Output = dup(STDOUT_FILENO);
    EXPECT_GE(dup2(Pipe[1], STDOUT_FILENO), 0);
    initBoundedLogging(LogLevel::Info, "i", 1e5);
  }
  ~UnreadLogPipe() {
    restoreOutput();
    close(Pipe[0]);
    close(Pipe[1]);
    initLogging(LogLevel::Error, "", "test");
  }
  UnreadLogPipe(const UnreadLogPipe &) = delete;
  UnreadLogPipe &operator=(const UnreadLogPipe &) = delete;

  /// Restores standard output and returns the number of unread bytes in the
  /// pipe.
  int restoreOutput() {
    if (Output >= 0) {
      std::fflush(stdout);
      dup2(Output, STDOUT_FILENO);
      close(Output);
    }
    Output = -1;
    int Unread = 0;
    EXPECT_EQ(ioctl(Pipe[0], FIONREAD, &Unread), 0);
    return Unread;
  }

private:
  int Pipe[2] = {-1, -1};
  int Output = -1;
};

class RelayDaemonUnreadLogTest : protected UnreadLogPipe,
                                 public RelayDaemonTest {};

} // namespace

TEST_F(RelayDaemonTest, ServesSequentialRequestsOnOneConnection) {
  tcp::socket Caller = connect(CallerPort);
  for (const char *Path : {"/a", "/b"}) {
    send(Caller, encodeGet(Path));
    const std::string Answer = receive(Caller, 2);
    EXPECT_EQ(Answer.substr(0, 15), "HTTP/1.1 200 OK") << Answer;
    EXPECT_EQ(Answer.substr(Answer.size() - 2), Path);
  }
}

TEST_F(RelayDaemonTest, AnswersPipelinedRequestsInOrder) {
  tcp::socket Caller = connect(CallerPort);
  send(Caller, encodeGet("/slow") + encodeGet("/b"));
  const std::string First = receive(Caller, 5);
  EXPECT_NE(First.find("/slow"), std::string::npos);
  const std::string Second =
      First.find("/b") != std::string::npos ? First : receive(Caller, 2);
  EXPECT_NE(Second.find("/b"), std::string::npos);
}

TEST_F(RelayDaemonTest, RejectsInvalidAndOversizedRequests) {
  const std::pair<std::string, const char *> Cases[] = {
      {"GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(3000, 'x') + "\r\n\r\n",
       "431"},
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", "413"},
      {"no protocol\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"GET / HTTP/1.1\r\nHost: other\r\n\r\n", "404"},
      {"GET / HTTP/1.1\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nHo", "408"}};
  for (const auto &[Text, Status] : Cases) {
    tcp::socket Caller = connect(CallerPort);
    send(Caller, Text);
    EXPECT_EQ(receive(Caller, 0).substr(9, 3), Status) << Text;
  }
}

TEST_F(RelayDaemonTest, CallerDisconnectCancelsBackendRequest) {
  {
    tcp::socket Caller = connect(CallerPort);
    send(Caller, encodeGet("/slow"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  EXPECT_EQ(Backend.DisconnectedRequests, 1);
  tcp::socket SecondCaller = connect(CallerPort);
  send(SecondCaller, encodeGet("/a"));
  EXPECT_EQ(receive(SecondCaller, 2).substr(9, 3), "200");
}

// During a graceful shutdown callers keep their connections open and continue
// to send requests, and new connections arrive until the process has ended.
// None of these requests may be lost.
TEST_F(RelayDaemonTest, AnswersEveryRequestReadDuringShutdown) {
  tcp::socket Prober = connect(ReadinessPort);
  send(Prober, encodeGet("/ready"));
  EXPECT_EQ(receive(Prober, 0).substr(9, 3), "200");
  tcp::socket Idle = connect(CallerPort);
  tcp::socket Busy = connect(CallerPort);
  send(Busy, encodeGet("/slow"));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  std::raise(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  send(Prober, encodeGet("/ready"));
  EXPECT_EQ(receive(Prober, 0).substr(9, 3), "503");
  send(Idle, encodeGet("/a"));
  const std::string IdleResponse = receive(Idle, 2);
  EXPECT_EQ(IdleResponse.substr(9, 3), "200");
  EXPECT_NE(IdleResponse.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(closedByPeer(Idle));
  const std::string Slow = receive(Busy, 5);
  EXPECT_EQ(Slow.substr(9, 3), "200");
  EXPECT_NE(Slow.find("/slow"), std::string::npos);
  tcp::socket Late = connect(CallerPort);
  send(Late, encodeGet("/b"));
  EXPECT_EQ(receive(Late, 2).substr(9, 3), "200");
  RelayThread.join();
  Relay.reset();
}

TEST_F(RelayDaemonTest, ExportsMetrics) {
  tcp::socket Caller = connect(CallerPort);
  send(Caller, encodeGet("/a"));
  receive(Caller, 2);
  send(Caller, "GET / HTTP/1.1\r\nHost: other\r\n\r\n");
  receive(Caller, 0);
  tcp::socket Scraper = connect(MetricsPort);
  send(Scraper, "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: "
                "close\r\n\r\n");
  std::string Text;
  boost::system::error_code Ended;
  boost::asio::read(Scraper, boost::asio::dynamic_buffer(Text), Ended);
  EXPECT_EQ(Text.substr(9, 3), "200");
  for (const char *Series :
       {R"(quetzallead_requests_total{instance_name="i",zone="a",)"
        R"(outcome="relayed",route="r"} 1)",
        R"(quetzallead_rejected_requests_total{instance_name="i",zone="a",)"
        R"(reason="no_route"} 1)",
        R"(cause="first",result="answered",service="x"} 1)",
        R"(quetzallead_sheet_version{instance_name="i",zone="a"} 3)",
        R"(quetzallead_ready{instance_name="i",zone="a"} 1)",
        R"(service="x",standing="sound"} 1)"})
    EXPECT_NE(Text.find(Series), std::string::npos) << Series << "\n" << Text;
}

// If the reader of the log stops reading, the pipe fills up and blocking writes
// to it would stall the event loop and with it all callers.
TEST_F(RelayDaemonUnreadLogTest, BlockedLogReaderDoesNotDelayCallers) {
  // The log lines of 500 such requests exceed the capacity of the pipe.
  const std::string LongTarget(1500, 'x');
  absl::Duration MaxLatency = absl::ZeroDuration();
  tcp::socket Caller = connect(CallerPort);
  int Answered = 0;
  for (int I = 0; I < 500; ++I) {
    const absl::Time Sent = absl::Now();
    send(Caller, "GET /" + LongTarget + " HTTP/1.1\r\nHost: other\r\n\r\n");
    Answered += receive(Caller, 0).substr(9, 3) == "404" ? 1 : 0;
    MaxLatency = std::max(MaxLatency, absl::Now() - Sent);
  }
  const int Unread = restoreOutput();
  EXPECT_EQ(Answered, 500);
  EXPECT_GE(Unread, 32 << 10) << "the pipe should have been filled";
  EXPECT_LT(MaxLatency, absl::Milliseconds(500));
}

// Another process may hold the metrics port. The daemon must start without
// metrics then, so that callers are still served.
TEST(RelayDaemonStartTest, StartsWithoutMetricsIfMetricsPortIsInUse) {
  boost::asio::io_context Loop;
  const tcp::endpoint Any(boost::asio::ip::make_address("127.0.0.1"), 0);
  tcp::acceptor Taken(Loop, Any, false);
  RelaySettings Settings;
  Settings.Instance = "i";
  Settings.Zone = "a";
  Settings.CallerListen = "127.0.0.1:0";
  Settings.ReadinessListen = "127.0.0.1:0";
  Settings.MetricsListen =
      "127.0.0.1:" + std::to_string(Taken.local_endpoint().port());
  Settings.StoreAddress = "127.0.0.1:1";
  RelayDaemon Relay(Settings, platformDeployment());
  auto Bound = capture([&] { return Relay.listen(); });
  EXPECT_TRUE(std::holds_alternative<bool>(Bound));
}

// A home that has just started does not know the secret by which it could tell
// that it has not run a request.
TEST_F(RelayStartTest, RefusesLinksUntilItKnowsTheSecret) {
  absl::SleepFor(absl::Milliseconds(200));
  boost::system::error_code Fault;
  tcp::socket Early(Loop);
  Early.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                              static_cast<std::uint16_t>(LinkPort)),
                Fault);
  EXPECT_EQ(Fault, boost::asio::error::connection_refused);
  StaticStore::TierUnreadable = false;
  for (int Try = 0; Try < 500 && Fault; ++Try) {
    absl::SleepFor(absl::Milliseconds(10));
    tcp::socket Later(Loop);
    Fault.clear();
    Later.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                static_cast<std::uint16_t>(LinkPort)),
                  Fault);
  }
  EXPECT_FALSE(Fault) << Fault.message();
}

TEST_F(RelayHomeTest, ForwardsRequestsToItsHome) {
  const std::string Answer = ask(encodeGet("/a"), 2);
  EXPECT_EQ(Answer.substr(0, 15), "HTTP/1.1 200 OK") << Answer;
  EXPECT_EQ(Answer.substr(Answer.size() - 2), "/a");
  EXPECT_EQ(Answer.find(LinkHeader), std::string::npos) << Answer;
}

TEST_F(RelayHomeTest, RouteUnknownToTheHomeIsNotFound) {
  const std::string Answer =
      ask("GET /a HTTP/1.1\r\nHost: other\r\nRequest-Id: 1\r\n\r\n", 0);
  EXPECT_EQ(Answer.substr(0, 12), "HTTP/1.1 404") << Answer;
}

TEST_F(RelayHomeTest, CancelsTheWorkOfACallerThatLeaves) {
  ask(encodeGet("/a"), 2);
  {
    tcp::socket Caller = connect(AskerPort);
    send(Caller, encodeGet("/slow"));
    absl::SleepFor(absl::Milliseconds(100));
  }
  for (int Try = 0; Try < 200 && Backend.DisconnectedRequests == 0; ++Try)
    absl::SleepFor(absl::Milliseconds(10));
  EXPECT_EQ(Backend.DisconnectedRequests, 1);
}

TEST_F(RelayHomeTest, TakesNoUnsignedRequestOnTheLink) {
  // The home listens once it knows the secret; until then the asking instance
  // serves callers itself.
  tcp::socket Stranger(Loop);
  boost::system::error_code Fault = boost::asio::error::connection_refused;
  for (int Try = 0; Try < 500 && Fault; ++Try) {
    absl::SleepFor(absl::Milliseconds(10));
    Stranger = tcp::socket(Loop);
    Stranger.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                   static_cast<std::uint16_t>(LinkPort)),
                     Fault);
  }
  ASSERT_FALSE(Fault) << Fault.message();
  send(Stranger, encodeGet("/a"));
  EXPECT_EQ(receive(Stranger, 0).substr(0, 12), "HTTP/1.1 403");
  EXPECT_TRUE(closedByPeer(Stranger));
}
