#ifndef QUETZALLEAD_TESTS_RELAY_RELAYWITHSTORE_H
#define QUETZALLEAD_TESTS_RELAY_RELAYWITHSTORE_H

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "platform/PlatformDeployment.h"
#include "relay/FakeStore.h"
#include "relay/PathEchoServer.h"
#include "relay/RelayDaemon.h"
#include <atomic>
#include <boost/asio/read_until.hpp>
#include <csignal>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <thread>

namespace quetzallead {

/// A sheet with one route, for paths that begin with \p Prefix.
inline std::string sheet(int Version, const std::string &Prefix) {
  return absl::StrCat(R"({"version": )", Version, R"(, "routes": [
    {"name": "r", "host": "h", "prefix": ")",
                      Prefix, R"(", "type": "idempotent",
     "timeout_ms": 3000, "slo_ms": 1000, "priority": 1, "service": "x",
     "max_attempts": 2}],
    "services": [{"name": "x", "max_conns": 26}],
    "limits": {"max_header_bytes": 2000, "max_body_bytes": 1000,
               "header_timeout_ms": 300, "idle_timeout_ms": 2000}})");
}

/// Runs a relay that follows a store over HTTP, with one backend server.
class RelayWithStore : public testing::Test {
protected:
  /// \p GivenLinkListen is the relay's address for other instances; it is alone
  /// if that is empty.
  /// \p Adjust may change the relay's settings.
  explicit RelayWithStore(
      const std::string &GivenLinkListen = "",
      const std::function<void(RelaySettings &)> &Adjust = nullptr)
      : LinkListen(GivenLinkListen) {
    Store.put("op/config", sheet(3, "/"));
    putServer("i-1", "ready");
    CallerPort = freePort();
    RelaySettings Settings = settings("i", CallerPort, LinkListen);
    if (Adjust)
      Adjust(Settings);
    LeavingTime = Settings.LeavingTime;
    Relay = startListening(Settings);
    RelayThread = std::thread([this] { Relay->run(); });
  }
  ~RelayWithStore() override {
    std::raise(SIGTERM);
    RelayThread.join();
    Relay.reset();
  }

  RelaySettings settings(const std::string &Instance, int Port,
                         const std::string &GivenLinkListen) const {
    RelaySettings Settings;
    Settings.Instance = Instance;
    Settings.Zone = "a";
    Settings.CallerListen = absl::StrCat("127.0.0.1:", Port);
    Settings.ReadinessListen = absl::StrCat("127.0.0.1:", freePort());
    Settings.LinkListen = GivenLinkListen;
    Settings.StoreAddress = Store.address();
    Settings.StopGrace = absl::Seconds(3);
    return Settings;
  }
  static std::unique_ptr<RelayDaemon>
  startListening(const RelaySettings &Settings) {
    auto Started =
        std::make_unique<RelayDaemon>(Settings, platformDeployment());
    auto Bound = capture([&] { return Started->listen(); });
    EXPECT_TRUE(std::holds_alternative<bool>(Bound));
    return Started;
  }

  void putServer(const std::string &Id, const std::string &State) {
    putServer(Id, State, Backend, 1);
  }
  void putServer(const std::string &Id, const std::string &State,
                 const PathEchoServer &Server, int Born) {
    Store.put("servers/" + Id,
              absl::StrCat(R"({"service": "x", "zone": "a", "slots": 8, )",
                           R"("born": )", Born, R"(, "state": ")", State,
                           R"(", "address": ")", Server.address(), "\"}"));
  }

  /// Sends a request for \p Path with the further header lines \p Fields on a
  /// new connection to \p Port and returns the head of the response.
  std::string askForHead(const std::string &Path, int Port,
                         const std::string &Fields = "") {
    boost::asio::io_context CallerLoop;
    boost::asio::ip::tcp::socket Caller(CallerLoop);
    Caller.connect(boost::asio::ip::tcp::endpoint(
        boost::asio::ip::make_address("127.0.0.1"),
        static_cast<std::uint16_t>(Port)));
    const std::string Request = absl::StrCat(
        "GET ", Path, " HTTP/1.1\r\nHost: h\r\nRequest-Id: ", ++LastRequestId,
        "\r\nDeadline-Ms: 2500\r\n", Fields, "\r\n");
    boost::asio::write(Caller, boost::asio::buffer(Request));
    std::string Text;
    boost::system::error_code Fault;
    boost::asio::read_until(Caller, boost::asio::dynamic_buffer(Text),
                            "\r\n\r\n", Fault);
    return Text;
  }
  std::string askForHead() { return askForHead("/a", CallerPort); }
  /// Sends a request and returns the status.
  unsigned ask() { return ask("/a", CallerPort); }
  unsigned ask(const std::string &Path, int Port,
               const std::string &Fields = "") {
    const std::string Text = askForHead(Path, Port, Fields);
    return Text.size() < 12
               ? 0
               : static_cast<unsigned>(std::stoul(Text.substr(9, 3)));
  }

  /// Waits until \p Condition holds; fails after ten seconds.
  template <typename Fn> static void await(Fn Condition) {
    const absl::Time GiveUpAt = absl::Now() + absl::Seconds(10);
    bool Holds = Condition();
    while (!Holds && absl::Now() < GiveUpAt) {
      absl::SleepFor(absl::Milliseconds(5));
      Holds = Condition();
    }
    ASSERT_TRUE(Holds);
  }

  const std::string LinkListen;
  std::atomic<int> LastRequestId{0};
  FakeStore Store;
  PathEchoServer Backend;
  /// Not registered in the store at first.
  PathEchoServer Second;
  Duration LeavingTime;
  int CallerPort = 0;
  std::unique_ptr<RelayDaemon> Relay;
  std::thread RelayThread;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_RELAY_RELAYWITHSTORE_H
