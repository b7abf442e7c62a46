#include "platform/PlatformHeaders.h"
#include "relay/ByteServer.h"
#include "relay/LinkMessages.h"
#include "relay/RelayWithStore.h"
#include <gmock/gmock.h>

using namespace quetzallead;
using boost::asio::ip::tcp;
using testing::StartsWith;

namespace {

constexpr char Head[] = "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: t\r\n"
                        "Deadline-Ms: 2500\r\n";

std::string chunked(const std::string &Trailer,
                    const std::string &Fields = "") {
  return absl::StrCat(Head, Fields, "Transfer-Encoding: chunked\r\n\r\n",
                      "2\r\nok\r\n0\r\n", Trailer, "\r\n");
}

std::string longField() {
  return "X-Name: " + std::string(65534, 'x') + "\r\n";
}

/// The value of the first series called \p Name.
std::string valueOf(const std::string &Metrics, const std::string &Name) {
  const std::size_t At = Metrics.find("\n" + Name + "{");
  if (At == std::string::npos)
    return std::string();
  const std::size_t Begin = Metrics.find("} ", At) + 2;
  return Metrics.substr(Begin, Metrics.find('\n', Begin) - Begin);
}

/// Where the relay of a test listens: for callers, probes of its readiness,
/// scrapers and other instances. Set while the relay starts.
struct ListenAddresses {
  std::vector<std::string> Addresses;
};

/// A relay whose callers, probes, scrapers and other instances send what no
/// limit allows.
class OversizedRequestTest : private ListenAddresses, public RelayWithStore {
protected:
  using ListenAddresses::Addresses;

  OversizedRequestTest()
      : RelayWithStore(
            absl::StrCat("127.0.0.1:", freePort()), [this](RelaySettings &S) {
              S.MetricsListen = absl::StrCat("127.0.0.1:", freePort());
              Addresses = {S.CallerListen, S.ReadinessListen, S.MetricsListen,
                           S.LinkListen};
            }) {
    await([&] { return ask() == 200; });
  }

  /// Sets a limit, and waits until it is in force.
  void setLimit(const std::string &Name, std::uint64_t Value) {
    std::string Text = sheet(++SheetVersion, "/");
    const std::size_t Begin = Text.find(Name) + Name.size() + 3;
    Text.replace(Begin, Text.find_first_of(",}", Begin) - Begin,
                 absl::StrCat(Value));
    Store.put("op/config", Text);
    await([&] {
      return valueOf(scrape(), "quetzallead_sheet_version") ==
             absl::StrCat(SheetVersion);
    });
  }

  std::string scrape() {
    // The connection ends with the response.
    return send(Addresses[2],
                "GET /metrics HTTP/1.1\r\nHost: h\r\n"
                "Connection: close\r\n\r\n",
                std::string(1, '\0'));
  }

  tcp::socket connect(const std::string &Address) {
    tcp::socket Peer(CallerLoop);
    const std::size_t Colon = Address.find(':');
    Peer.connect(tcp::endpoint(
        boost::asio::ip::make_address(Address.substr(0, Colon)),
        static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1)))));
    return Peer;
  }

  /// Sends \p Bytes to \p Address and returns what comes until the connection
  /// ends or \p Enough has come.
  std::string send(const std::string &Address, const std::string &Bytes,
                   const std::string &Enough = "\r\n\r\n") {
    tcp::socket Peer = connect(Address);
    boost::system::error_code Fault;
    boost::asio::write(Peer, boost::asio::buffer(Bytes), Fault);
    std::string Text;
    boost::asio::read_until(Peer, boost::asio::dynamic_buffer(Text), Enough,
                            Fault);
    return Text;
  }
  std::string send(const std::string &Bytes) {
    return send(Addresses[0], Bytes);
  }

  int SheetVersion = 3;
  boost::asio::io_context CallerLoop;
};

} // namespace

// Each of them ended the process, and all requests that it served.
TEST_F(OversizedRequestTest, LongTrailerEndedTheProcess) {
  setLimit("max_body_bytes", 1 << 20);
  const std::string LongName = std::string(65534, 'x') + ": 1\r\n";
  for (const std::string &Address : Addresses) {
    SCOPED_TRACE(Address);
    EXPECT_THAT(send(Address, chunked(longField())),
                StartsWith("HTTP/1.1 431"));
    EXPECT_THAT(send(Address, chunked(LongName)), StartsWith("HTTP/1.1 431"));
    const std::string Text =
        send(Address, chunked(longField(), "Expect: 100-continue\r\n"), "431");
    EXPECT_NE(Text.find("HTTP/1.1 431"), std::string::npos) << Text;
    EXPECT_EQ(ask(), 200u);
  }
}

// On-call could not tell who had sent what.
TEST_F(OversizedRequestTest, RefusedMessagesAreCountedByPeer) {
  for (const std::string &Address : Addresses)
    send(Address, chunked(longField()));
  ByteServer Broken([](tcp::socket &Peer, const ByteServer::Request &) {
    return ByteServer::send(
        Peer, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: "
              "chunked\r\n\r\n0\r\n" +
                  longField() + "\r\n");
  });
  Store.put("servers/i-1",
            absl::StrCat(R"({"service": "x", "zone": "a", "slots": 8, )",
                         R"("born": 2, "state": "ready", "address": ")",
                         Broken.address(), "\"}"));
  await([&] { return ask() == 502; });
  const std::string Metrics = scrape();
  for (const char *Series : {R"(defect="head_too_large",peer="caller"} 1)",
                             R"(defect="head_too_large",peer="prober"} 1)",
                             R"(defect="head_too_large",peer="scraper"} 1)",
                             R"(defect="head_too_large",peer="instance"} 1)",
                             R"(defect="too_large",peer="server"})"})
    EXPECT_THAT(Metrics, testing::HasSubstr(Series));
}

// It is parsed by a function of its own while another request is served.
TEST_F(OversizedRequestTest, LongTrailerBehindARequestEndedTheProcess) {
  const std::string Slow = "GET /slow HTTP/1.1\r\nHost: h\r\nRequest-Id: s\r\n"
                           "Deadline-Ms: 2500\r\n\r\n";
  for (const std::string &Address : Addresses)
    send(Address, Slow + chunked(longField()), "431");
  // The caller gets the answer to its first request all the same.
  const std::string Text =
      send(Addresses[0], Slow + chunked(longField()), "431");
  EXPECT_THAT(Text, StartsWith("HTTP/1.1 200"));
  EXPECT_NE(Text.find("HTTP/1.1 431"), std::string::npos) << Text;
  EXPECT_EQ(ask(), 200u);
}

// A limit of the operator above what the library holds made a field of the head
// end the process.
TEST_F(OversizedRequestTest, FieldWithinALargeLimitEndedTheProcess) {
  setLimit("max_header_bytes", 131072);
  const std::string LongName = std::string(65534, 'x') + ": 1\r\n";
  EXPECT_THAT(send(absl::StrCat(Head, longField(), "\r\n")),
              StartsWith("HTTP/1.1 431"));
  EXPECT_THAT(send(absl::StrCat(Head, LongName, "\r\n")),
              StartsWith("HTTP/1.1 431"));
  EXPECT_THAT(send(Addresses[3], absl::StrCat(Head, longField(), "\r\n")),
              StartsWith("HTTP/1.1 431"));
  EXPECT_EQ(ask(), 200u);
}

// Reading stopped at 64 KiB whatever the limit was, and the caller got 408.
TEST_F(OversizedRequestTest, HeadWithinALargeLimitWasNotReadOn) {
  setLimit("max_header_bytes", 131072);
  std::string Fields;
  for (int I = 0; Fields.size() < 130000; ++I)
    absl::StrAppend(&Fields, "X-", I, ": ", std::string(1000, 'x'), "\r\n");
  EXPECT_THAT(send(absl::StrCat(Head, Fields, "\r\n")),
              StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(send(chunked(Fields)), StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(send(absl::StrCat(Head, Fields, Fields, "\r\n")),
              StartsWith("HTTP/1.1 431"));
  EXPECT_THAT(send(chunked(Fields + Fields)), StartsWith("HTTP/1.1 431"));
}

// It was awaited until the timeout.
TEST_F(OversizedRequestTest, ExtensionWithoutEndIsRefusedAtOnce) {
  const absl::Time Begun = absl::Now();
  EXPECT_THAT(send(absl::StrCat(Head, "Transfer-Encoding: chunked\r\n\r\n2;",
                                std::string(70000, 'x'))),
              StartsWith("HTTP/1.1 431"));
  EXPECT_LT(absl::Now() - Begun, absl::Seconds(1));
}

// The link had a limit of its own below that of callers.
TEST_F(OversizedRequestTest, LongHeadOfACallerWasRefusedByTheHome) {
  setLimit("max_header_bytes", 131072);
  const std::string Secret = Store.value("quetzallead/link-secret");
  ASSERT_FALSE(Secret.empty());
  ForwardedRequest Call;
  Call.Method = "GET";
  Call.Target = "/a";
  Call.Host = "h";
  Call.RequestId = "r1";
  Call.Headers = "Request-Id: r1\r\n";
  for (int I = 0; Call.Headers.size() < 130900; ++I)
    absl::StrAppend(&Call.Headers, "X-", I, ": ", std::string(900, 'x'),
                    "\r\n");
  const std::string Text =
      send(Addresses[3],
           encodeLinkRequest(Call, platformHeaderNames(), LinkRequestInfo(),
                             absl::Seconds(2), Secret),
           "\r\n\r\n/a");
  EXPECT_NE(Text.find("HTTP/1.1 200"), std::string::npos)
      << Text.substr(0, 200);
}

// What a request announced was allocated at once, with the process if it could
// not be.
TEST_F(OversizedRequestTest, AnnouncedLengthEndedTheProcess) {
  setLimit("max_body_bytes", 100'000'000'000'000'000);
  tcp::socket Caller = connect(Addresses[0]);
  boost::asio::write(
      Caller, boost::asio::buffer(absl::StrCat(
                  Head, "Content-Length: 10000000000000000\r\n\r\nbody")));
  absl::SleepFor(absl::Milliseconds(100));
  EXPECT_EQ(ask(), 200u);
}
