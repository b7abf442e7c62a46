#include "relay/ByteServer.h"
#include "relay/RelayWithStore.h"

using namespace quetzallead;
using boost::asio::ip::tcp;

namespace {

/// An answer without end: how it begins and what follows again and again.
struct EndlessAnswer {
  const char *Name;
  std::string Head;
  std::string Piece;
  /// Bytes on the wire for each byte that belongs to the answer.
  std::size_t Expansion = 1;
};

std::ostream &operator<<(std::ostream &Out, const EndlessAnswer &Answer) {
  return Out << Answer.Name;
}

const EndlessAnswer EndlessAnswers[] = {
    {"NoLength", "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\n",
     std::string(65536, 'x')},
    {"NotFound", "HTTP/1.1 404 Not Found\r\n\r\n", std::string(65536, 'x')},
    {"OtherRequest", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n",
     std::string(65536, 'x')},
    {"LengthTooLarge",
     "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 50000000\r\n\r\n",
     std::string(65536, 'x')},
    {"Chunks",
     "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
     "1000\r\n" + std::string(4096, 'x') + "\r\n"},
    {"TinyChunks",
     "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
     "1\r\nx\r\n1\r\nx\r\n1\r\nx\r\n1\r\nx\r\n", 6},
    {"ChunkExtension",
     "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: "
     "chunked\r\n\r\n5;x=",
     std::string(65536, 'x')},
    {"Trailer",
     "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: "
     "chunked\r\n\r\n0\r\nX: ",
     std::string(65536, 'x')},
    {"NoProtocol", "", std::string(65536, 'x')},
    {"Nuls", "", std::string(65536, '\0')},
    {"EmptyLines", "", "\r\n\r\n\r\n\r\n"},
    {"StatusDigits", "HTTP/1.1 2", std::string(65536, '0')},
    {"Reason", "HTTP/1.1 200 ", std::string(65536, 'x')},
    {"Fields", "HTTP/1.1 200 OK\r\n", "X-Name: value\r\n"},
    {"FieldName", "HTTP/1.1 200 OK\r\n", std::string(65536, 'x')},
    {"FieldValue", "HTTP/1.1 200 OK\r\nX: ", std::string(65536, 'x')},
    {"TrailerFields",
     "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: "
     "chunked\r\n\r\n0\r\n",
     "X-Name: value\r\n"},
    {"Status000", "HTTP/1.1 000 OK\r\nServer-Stamp: s\r\n\r\n",
     std::string(65536, 'x')},
    {"Interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
};

constexpr std::size_t MiB = 1 << 20;

/// A relay on a machine of 40 MiB that holds 14 MiB at most, with a sound
/// server and, later, one whose bytes a test chooses.
class ScarceMemoryTest : public RelayWithStore {
protected:
  ScarceMemoryTest()
      : RelayWithStore("", [](RelaySettings &S) { S.Machine.MemoryMb = 40; }) {
    std::string Text = sheet(4, "/");
    const std::string Limit = "\"max_body_bytes\": 1000";
    Text.replace(Text.find(Limit), Limit.size(), "\"max_body_bytes\": 2000000");
    const std::string Services = "\"services\": [";
    Text.insert(Text.find(Services) + Services.size(),
                "{\"name\": \"y\", \"max_conns\": 100}, ");
    const std::string Routes = "\"routes\": [";
    Text.insert(Text.find(Routes) + Routes.size(),
                R"({"name": "other", "host": "h", "prefix": "/other/",
                    "type": "idempotent", "timeout_ms": 3000, "slo_ms": 1000,
                    "priority": 1, "service": "y", "max_attempts": 1},
                   {"name": "survey", "host": "h", "prefix": "/survey/",
                    "type": "idempotent", "timeout_ms": 2000, "slo_ms": 500,
                    "priority": 1, "gather": ["x", "y"], "top_k": 4,
                    "min_shard_ratio": 0.5, "max_attempts": 1}, )");
    Store.put("op/config", Text);
    await([&] { return ask() == 200; });
    absl::SleepFor(absl::Seconds(1));
  }

  void putOther(const ByteServer &Server) {
    Store.put("servers/o-1",
              absl::StrCat(R"({"service": "y", "zone": "a", "slots": 100, )",
                           R"("born": 1, "state": "ready", "address": ")",
                           Server.address(), "\"}"));
    absl::SleepFor(absl::Milliseconds(1500));
  }

  tcp::socket connect() {
    tcp::socket Caller(CallerLoop);
    Caller.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                 static_cast<std::uint16_t>(CallerPort)));
    return Caller;
  }
  /// Sends the bytes of \p Answer until the relay has closed.
  static void sendEndless(tcp::socket &Peer, const EndlessAnswer &Answer,
                          std::atomic<std::size_t> &Sent) {
    bool Open = ByteServer::send(Peer, Answer.Head);
    std::string Piece;
    while (Piece.size() < 65536)
      Piece += Answer.Piece;
    while (Open) {
      Open = ByteServer::send(Peer, Piece);
      Sent += Piece.size();
    }
  }
  void send(tcp::socket &Caller, const std::string &Text) {
    boost::system::error_code Ignored;
    boost::asio::write(Caller, boost::asio::buffer(Text), Ignored);
  }
  std::string get(const std::string &Path) {
    return absl::StrCat("GET ", Path,
                        " HTTP/1.1\r\nHost: h\r\nRequest-Id: ", ++LastRequestId,
                        "\r\nDeadline-Ms: 2500\r\n\r\n");
  }
  /// Expects that the sound server's callers are served for a while.
  void expectOthersServed() {
    for (int I = 0; I < 20; ++I) {
      EXPECT_EQ(ask(), 200u);
      absl::SleepFor(absl::Milliseconds(20));
    }
  }

  boost::asio::io_context CallerLoop;
};

class EndlessAnswerTest : public ScarceMemoryTest,
                          public testing::WithParamInterface<EndlessAnswer> {};

/// Where the bytes come in other places than the answer to a plain request.
class EndlessBytesElsewhereTest : public EndlessAnswerTest {};

/// Those of EndlessAnswers that are read in different ways.
std::vector<EndlessAnswer> differentEndlessAnswers() {
  std::vector<EndlessAnswer> Out;
  for (const EndlessAnswer &Answer : EndlessAnswers)
    for (const char *Name : {"NoLength", "Chunks", "NoProtocol", "FieldName",
                             "StatusDigits", "Interim"})
      if (Name == std::string(Answer.Name))
        Out.push_back(Answer);
  return Out;
}

} // namespace

// A few answers without end took a process beyond its memory; it was killed
// with the requests of all its callers.
TEST_P(EndlessAnswerTest, AnswersWithoutEndWereHeldUntilTheTimeout) {
  static constexpr int Callers = 6;
  std::atomic<std::size_t> Sent{0};
  std::atomic<int> Ended{0};
  ByteServer Faulty([&](tcp::socket &Peer, const ByteServer::Request &) {
    sendEndless(Peer, GetParam(), Sent);
    ++Ended;
    return false;
  });
  putOther(Faulty);
  std::vector<tcp::socket> Waiting;
  Waiting.reserve(Callers);
  for (int I = 0; I < Callers; ++I) {
    Waiting.push_back(connect());
    send(Waiting.back(), get("/other/1"));
  }
  expectOthersServed();
  for (tcp::socket &Caller : Waiting) {
    std::string Text;
    boost::system::error_code Fault;
    boost::asio::read_until(Caller, boost::asio::dynamic_buffer(Text),
                            "\r\n\r\n", Fault);
    // They ran, and none gets bytes of an answer that did not end.
    EXPECT_TRUE(Text.substr(9, 3) == "502" || Text.substr(9, 3) == "504")
        << Text.substr(0, 100);
  }
  await([&] { return Ended == Callers; });
  // Each is ended long before it fills what a process holds.
  EXPECT_LT(Sent / GetParam().Expansion / Callers, 12 * MiB);
}

INSTANTIATE_TEST_SUITE_P(Kinds, EndlessAnswerTest,
                         testing::ValuesIn(EndlessAnswers),
                         [](const auto &Case) { return Case.param.Name; });

TEST_P(EndlessBytesElsewhereTest, PartsWithoutEndAreLeftOut) {
  static constexpr int Callers = 3;
  std::atomic<std::size_t> Sent{0};
  std::atomic<int> Ended{0};
  ByteServer Faulty([&](tcp::socket &Peer, const ByteServer::Request &) {
    sendEndless(Peer, GetParam(), Sent);
    ++Ended;
    return false;
  });
  putOther(Faulty);
  std::vector<tcp::socket> Waiting;
  Waiting.reserve(Callers);
  for (int I = 0; I < Callers; ++I) {
    Waiting.push_back(connect());
    send(Waiting.back(), get("/survey/12345678"));
  }
  expectOthersServed();
  for (tcp::socket &Caller : Waiting) {
    std::string Text;
    boost::system::error_code Fault;
    boost::asio::read_until(Caller, boost::asio::dynamic_buffer(Text),
                            "\r\n\r\n", Fault);
    EXPECT_EQ(Text.substr(0, 15), "HTTP/1.1 200 OK");
    EXPECT_NE(Text.find("Missing-Parts: 1\r\n"), std::string::npos);
  }
  await([&] { return Ended == Callers; });
  EXPECT_LT(Sent / GetParam().Expansion / Callers, 12 * MiB);
}

// The bytes belong to no request; the answer before them is whole.
TEST_P(EndlessBytesElsewhereTest, BytesAfterAnAnswerEndTheConnection) {
  static constexpr int Callers = 6;
  std::atomic<std::size_t> Sent{0};
  std::atomic<int> Ended{0};
  std::atomic<bool> AtOnce{true};
  std::atomic<int> Asked{0};
  ByteServer Faulty([&](tcp::socket &Peer, const ByteServer::Request &) {
    // No caller may get the connection of another one.
    ++Asked;
    while (Asked < Callers)
      absl::SleepFor(absl::Milliseconds(1));
    ByteServer::send(Peer, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
                           "Content-Length: 0\r\n\r\n");
    if (!AtOnce)
      absl::SleepFor(absl::Milliseconds(50));
    sendEndless(Peer, GetParam(), Sent);
    ++Ended;
    return false;
  });
  putOther(Faulty);
  for (bool Given : {true, false}) {
    AtOnce = Given;
    Ended = 0;
    Asked = 0;
    std::vector<tcp::socket> Waiting;
    Waiting.reserve(Callers);
    for (int I = 0; I < Callers; ++I) {
      Waiting.push_back(connect());
      send(Waiting.back(), get("/other/1"));
    }
    for (tcp::socket &Caller : Waiting) {
      std::string Text;
      boost::system::error_code Fault;
      boost::asio::read_until(Caller, boost::asio::dynamic_buffer(Text),
                              "\r\n\r\n", Fault);
      EXPECT_EQ(Text.substr(0, 15), "HTTP/1.1 200 OK");
    }
    expectOthersServed();
    await([&] { return Ended == Callers; });
  }
  EXPECT_LT(Sent / Callers, 12 * MiB);
}

INSTANTIATE_TEST_SUITE_P(Kinds, EndlessBytesElsewhereTest,
                         testing::ValuesIn(differentEndlessAnswers()),
                         [](const auto &Case) { return Case.param.Name; });

// Callers that stopped within long bodies took a process beyond its memory.
TEST_F(ScarceMemoryTest, StalledCallersWereHeldUntilTheTimeout) {
  static constexpr int Callers = 40;
  const std::string Body(MiB, 'x');
  std::vector<tcp::socket> Stalled;
  Stalled.reserve(Callers);
  for (int I = 0; I < Callers; ++I) {
    Stalled.push_back(connect());
    Stalled.back().non_blocking(true);
    boost::system::error_code Ignored;
    const std::string Head = absl::StrCat(
        "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: s", I,
        "\r\nDeadline-Ms: 2500\r\nContent-Length: ", Body.size() + 9,
        "\r\n\r\n");
    Stalled.back().write_some(boost::asio::buffer(Head + Body), Ignored);
  }
  expectOthersServed();
  const int Before = Backend.Requests;
  int Rejected = 0;
  absl::SleepFor(absl::Seconds(1));
  for (tcp::socket &Caller : Stalled) {
    char Buffer[512];
    boost::system::error_code Fault;
    const std::size_t Count =
        Caller.read_some(boost::asio::buffer(Buffer), Fault);
    const std::string Text(Buffer, Count);
    if (Text.empty())
      continue;
    EXPECT_EQ(Text.substr(0, 12), "HTTP/1.1 503");
    EXPECT_NE(Text.find("Retry-After: "), std::string::npos);
    ++Rejected;
  }
  EXPECT_EQ(Backend.Requests, Before);
  // Not all of them, and no more than the memory requires.
  EXPECT_LT(Rejected, Callers);
}

// Such a body was read until memory was short, and then refused with a
// Retry-After.
TEST_F(ScarceMemoryTest, BodyThatCannotBeHeldIsRefusedAtOnce) {
  std::string Text = sheet(5, "/");
  const std::string Limit = "\"max_body_bytes\": 1000";
  Text.replace(Text.find(Limit), Limit.size(), "\"max_body_bytes\": 100000000");
  Store.put("op/config", Text);
  absl::SleepFor(absl::Seconds(1));
  const std::string Head = "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: b\r\n"
                           "Deadline-Ms: 2500\r\nContent-Length: ";
  for (const auto &[Length, Status] : {std::pair("20000000", "HTTP/1.1 413"),
                                       std::pair("2", "HTTP/1.1 200")}) {
    tcp::socket Caller = connect();
    send(Caller, absl::StrCat(Head, Length, "\r\n\r\nok"));
    std::string Answer;
    boost::system::error_code Fault;
    boost::asio::read_until(Caller, boost::asio::dynamic_buffer(Answer),
                            "\r\n\r\n", Fault);
    EXPECT_EQ(Answer.substr(0, 12), Status);
  }
}

// So did callers that do not read their responses.
TEST_F(ScarceMemoryTest, ResponsesThatNobodyReadsDoNotStopOthers) {
  ByteServer Large([&](tcp::socket &Peer, const ByteServer::Request &Given) {
    return ByteServer::send(
        Peer, absl::StrCat("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: ",
                           std::string(Given["Request-Id"]),
                           "\r\nContent-Length: ", MiB, "\r\n\r\n",
                           std::string(MiB, 'x')));
  });
  putOther(Large);
  std::vector<tcp::socket> Unread;
  Unread.reserve(60);
  for (int I = 0; I < 60; ++I) {
    Unread.push_back(connect());
    Unread.back().set_option(
        boost::asio::socket_base::receive_buffer_size(4096));
    send(Unread.back(), get("/other/1"));
  }
  expectOthersServed();
  absl::SleepFor(absl::Seconds(2));
  // There is room again for a caller that reads.
  tcp::socket Caller = connect();
  send(Caller, get("/other/2"));
  std::string Text;
  boost::system::error_code Fault;
  while (!Fault && Text.size() < MiB) {
    char Buffer[65536];
    Text.append(Buffer, Caller.read_some(boost::asio::buffer(Buffer), Fault));
  }
  EXPECT_EQ(Text.substr(0, 15), "HTTP/1.1 200 OK");
  EXPECT_GE(Text.size(), MiB);
}
