#include "transport/peer/PeerTransport.h"
#include "absl/strings/str_cat.h"
#include "runtime/TimerService.h"
#include "support/BrokenAnswers.h"
#include "support/LiveSockets.h"
#include "transport/Inbox.h"
#include "transport/RawListener.h"
#include "transport/peer/PeerCodec.h"
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <thread>

using namespace quetzallead;
using nlohmann::json;
using testing::HasSubstr;

namespace {

constexpr Duration GenerousTimeout = absl::Seconds(30);

struct Connected {
  PeerId Id;
  PeerIdentity Peer;
};

struct CallIn {
  PeerId From;
  PeerFrame Frame;
  PeerTransportHandlers::Responder Respond;
};

/// An instance with its transport and everything that its handlers were told.
class Node {
public:
  explicit Node(const std::string &Name,
                std::vector<std::string> Keys = {"key"},
                std::uint64_t Incarnation = 1) {
    Options.Listen = "127.0.0.1:0";
    Options.Self = {Name, "zone-1", Incarnation, ""};
    Options.Keys = std::move(Keys);
  }

  void start() {
    PeerTransportHandlers Handlers;
    Handlers.OnConnected = [this](PeerId Id, const PeerIdentity &Peer) {
      ++Links;
      Ups.put({Id, Peer});
    };
    Handlers.OnDisconnected = [this](PeerId Id, const std::string &) {
      --Links;
      Downs.put(Id);
    };
    Handlers.OnConnectFailed = [this](const std::string &,
                                      const std::string &Reason) {
      Failures.put(Reason);
    };
    Handlers.OnFrame = [this](PeerId, PeerFrame Frame) {
      if (Frame.Type == "hang")
        Gate.next();
      Frames.put(std::move(Frame));
    };
    Handlers.OnCall = [this](PeerId From, PeerFrame Frame, auto Respond) {
      if (Frame.Type == "echo")
        return Respond(std::move(Frame.Body));
      CallsIn.put({From, std::move(Frame), std::move(Respond)});
    };
    Handlers.OnRefused = [this](const std::string &Event, const std::string &,
                                const std::string &) { Refused.put(Event); };
    auto Made = capture([&] {
      return PeerTransport::make(Options, std::move(Handlers), *Timers);
    });
    ASSERT_EQ(Made.index(), 0u) << std::get<Error>(Made).text();
    Transport = std::move(std::get<0>(Made));
  }

  std::string address() const {
    return absl::StrCat("127.0.0.1:", Transport->port());
  }

  std::unique_ptr<TimerService> Timers = TimerService::make();
  PeerTransportOptions Options;
  Inbox<Connected> Ups;
  Inbox<PeerId> Downs;
  Inbox<std::string> Failures;
  Inbox<PeerFrame> Frames;
  Inbox<CallIn> CallsIn;
  Inbox<std::string> Refused;
  Inbox<PeerCallOutcome> Outcomes;
  /// Lets a hanging handler go on.
  Inbox<int> Gate;
  /// Links that came up and did not go down.
  std::atomic<int> Links{0};
  std::unique_ptr<PeerTransport> Transport;
};

/// Two nodes with a link from A to B.
class PeerTransportTest : public testing::Test {
protected:
  void SetUp() override {
    A.start();
    B.start();
  }
  void link() {
    A.Transport->connect(B.address());
    ToB = A.Ups.next().value_or(Connected{}).Id;
    ToA = B.Ups.next().value_or(Connected{}).Id;
  }
  void callB(Duration Timeout) {
    A.Transport->call(ToB, {"ask", 1}, Timeout, [this](PeerCallOutcome Out) {
      A.Outcomes.put(std::move(Out));
    });
  }

  Node A{"a"};
  Node B{"b"};
  PeerId ToB = 0;
  PeerId ToA = 0;
};

/// A WebSocket client frame with a zero mask.
std::string clientFrame(absl::string_view Payload, char Opcode = '\x02') {
  std::string Head = {static_cast<char>('\x80' | Opcode)};
  if (Payload.size() < 126) {
    Head += static_cast<char>('\x80' | Payload.size());
  } else {
    Head += '\xff';
    for (int Shift = 56; Shift >= 0; Shift -= 8)
      Head += static_cast<char>(Payload.size() >> Shift & 0xff);
  }
  return absl::StrCat(Head, std::string(4, '\0'), Payload);
}

RawConnection upgrade(int Port) {
  auto Peer = RawConnection::dial(Port);
  Peer.send("GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
            "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
  EXPECT_THAT(Peer.readThrough("\r\n\r\n"), HasSubstr(" 101 "));
  return Peer;
}

} // namespace

TEST_F(PeerTransportTest, LinksAndTellsWhoThePeerIs) {
  A.Transport->connect(B.address());
  auto AtA = A.Ups.next();
  auto AtB = B.Ups.next();
  ASSERT_TRUE(AtA && AtB);
  EXPECT_EQ(AtA->Peer, (PeerIdentity{"b", "zone-1", 1, B.address()}));
  EXPECT_EQ(AtB->Peer, (PeerIdentity{"a", "zone-1", 1, A.address()}));
}

// The pings of a link find a silent peer; a TCP_USER_TIMEOUT of the library's
// own would end it at another time.
TEST_F(PeerTransportTest, LibrarySetsNoUserTimeout) {
  link();
  int Ends = 0;
  for (const LiveSocket &S : liveSockets()) {
    if (S.LocalPort != B.Transport->port() && S.PeerPort != B.Transport->port())
      continue;
    ++Ends;
    EXPECT_EQ(S.UserTimeoutMillis, 0);
    EXPECT_FALSE(S.KeepAlive);
  }
  EXPECT_EQ(Ends, 2);
}

TEST_F(PeerTransportTest, CarriesFramesInOrderBothWays) {
  link();
  for (int I = 0; I < 200; ++I) {
    EXPECT_TRUE(A.Transport->send(ToB, {"n", I}));
    EXPECT_TRUE(B.Transport->send(ToA, {"n", I}));
  }
  for (int I = 0; I < 200; ++I) {
    EXPECT_EQ(B.Frames.next().value_or(PeerFrame{}).Body, I);
    EXPECT_EQ(A.Frames.next().value_or(PeerFrame{}).Body, I);
  }
  EXPECT_GT(A.Transport->counters().BytesOut, 200u);
  EXPECT_GE(B.Transport->counters().FramesIn, 200u);
}

TEST_F(PeerTransportTest, CarriesALargeFrameAndRefusesALargerOne) {
  link();
  std::string Large(MaxPeerFrameBytes - 100, 'x');
  EXPECT_TRUE(A.Transport->send(ToB, {"large", Large}));
  EXPECT_EQ(B.Frames.next().value_or(PeerFrame{}).Body, Large);
  std::string Larger(MaxPeerFrameBytes, 'x');
  EXPECT_FALSE(A.Transport->send(ToB, {"larger", Larger}));
}

TEST_F(PeerTransportTest, AnswersCallsFromAnyThread) {
  link();
  callB(GenerousTimeout);
  callB(GenerousTimeout);
  auto First = B.CallsIn.next();
  auto Second = B.CallsIn.next();
  ASSERT_TRUE(First && Second);
  std::thread([&] {
    Second->Respond("second");
    First->Respond("first");
    First->Respond("again");
  }).join();
  EXPECT_EQ(A.Outcomes.next().value_or(PeerCallOutcome{}).Body, "second");
  EXPECT_EQ(A.Outcomes.next().value_or(PeerCallOutcome{}).Body, "first");
}

TEST_F(PeerTransportTest, CallsEndAsLostWhenTheLinkBreaks) {
  link();
  callB(GenerousTimeout);
  auto Call = B.CallsIn.next();
  ASSERT_TRUE(Call.has_value());
  B.Transport->disconnect(ToA);
  EXPECT_EQ(A.Outcomes.next()->Status, PeerCallStatus::Lost);
  EXPECT_EQ(A.Downs.next(), ToB);
  Call->Respond("too late");
  callB(GenerousTimeout);
  EXPECT_EQ(A.Outcomes.next()->Status, PeerCallStatus::NotSent);
  EXPECT_FALSE(A.Transport->send(ToB, {"n", 1}));
}

TEST_F(PeerTransportTest, CallsEndAsLostByTheTimeLimitAndAtDestruction) {
  link();
  callB(absl::Milliseconds(20));
  EXPECT_EQ(A.Outcomes.next()->Status, PeerCallStatus::Lost);
  callB(GenerousTimeout);
  A.Transport.reset();
  ASSERT_EQ(A.Outcomes.size(), 1u);
  EXPECT_EQ(A.Outcomes.next()->Status, PeerCallStatus::Lost);
}

TEST_F(PeerTransportTest, ReportsAFailedDial) {
  A.Transport->connect(RawListener().address());
  EXPECT_TRUE(A.Failures.next().has_value());
  A.Transport->connect("not an address");
  EXPECT_TRUE(A.Failures.next().has_value());
  A.Transport->connect(A.address());
  EXPECT_TRUE(A.Failures.next().has_value());
  EXPECT_EQ(A.Ups.size(), 0u);
}

TEST_F(PeerTransportTest, BrokenAnswersToADialMakeNoLink) {
  RawListener Listener;
  for (const BrokenAnswer &Answer : brokenAnswers()) {
    SCOPED_TRACE(Answer.Name);
    A.Transport->connect(Listener.address());
    RawConnection Peer = Listener.accept();
    Peer.readThrough("\r\n\r\n");
    Peer.send(Answer.Bytes);
    Peer.close();
    EXPECT_TRUE(A.Failures.next().has_value());
  }
  EXPECT_EQ(A.Ups.size(), 0u);
  // The transport still works.
  link();
}

TEST_F(PeerTransportTest, EndlessAnswersToADialAreEndedEarly) {
  const std::string Long(65536, 'x');
  const std::pair<std::string, std::string> Endless[] = {
      {"", Long},
      {"", "\r\n\r\n"},
      {"HTTP/1.1 1", "0000000000"},
      {"HTTP/1.1 101 Switching Protocols\r\n", "X-A: a\r\n"},
      {"HTTP/1.1 101 Switching Protocols\r\nX-A: ", Long},
      {"HTTP/1.1 200 OK\r\n\r\n", Long},
      {"HTTP/1.1 200 OK\r\nContent-Length: 50000000\r\n\r\n", Long},
  };
  static constexpr std::size_t MaxSent = std::size_t{16} << 20;
  RawListener Listener;
  for (const auto &[Head, Piece] : Endless) {
    SCOPED_TRACE(Head + Piece.substr(0, 40));
    A.Transport->connect(Listener.address());
    RawConnection Peer = Listener.accept();
    Peer.readThrough("\r\n\r\n");
    std::string Block;
    while (Block.size() < 65536)
      Block += Piece;
    std::size_t Sent = 0;
    bool Open = Peer.send(Head);
    while (Open && Sent < MaxSent) {
      Open = Peer.send(Block);
      Sent += Block.size();
    }
    EXPECT_FALSE(Open);
    Peer.close();
    EXPECT_TRUE(A.Failures.next().has_value());
  }
  EXPECT_EQ(A.Ups.size(), 0u);
}

TEST_F(PeerTransportTest, RefusesAPeerWithAnotherKey) {
  Node C{"c", {"other"}};
  C.start();
  C.Transport->connect(A.address());
  EXPECT_TRUE(C.Failures.next().has_value());
  EXPECT_EQ(A.Ups.size(), 0u);
  EXPECT_EQ(C.Ups.size(), 0u);
  EXPECT_EQ(C.Transport->counters().StrangersRefused, 1u);
}

TEST_F(PeerTransportTest, RefusesStrangers) {
  for (absl::string_view Bytes :
       {"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /peer HTTP/1.1\r\nHost: x\r\n\r\n", "\x16\x03\x01\r\n\r\n\r\n"}) {
    auto Stranger = RawConnection::dial(A.Transport->port());
    Stranger.send(Bytes);
    EXPECT_TRUE(Stranger.waitForEnd());
    EXPECT_EQ(A.Refused.next(), "peer_stranger");
  }
  EXPECT_EQ(A.Transport->counters().StrangersRefused, 3u);
}

TEST_F(PeerTransportTest, RefusesFramesWithoutAProof) {
  PeerEnvelope Message{PeerFrameKind::Message, 0, {"query", json::object()}};
  auto Eager = upgrade(A.Transport->port());
  Eager.send(clientFrame(encodePeerEnvelope(Message)));
  EXPECT_EQ(A.Refused.next(), "peer_stranger");
  EXPECT_TRUE(Eager.waitForEnd());
  EXPECT_EQ(A.Frames.size(), 0u);
}

TEST_F(PeerTransportTest, RefusesMalformedAndOversizedFrames) {
  for (const std::string &Bytes :
       {clientFrame("\x81\x81"), clientFrame("{}", '\x01'),
        clientFrame(std::string(100000, 'x')),
        std::string("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff")}) {
    auto Peer = upgrade(A.Transport->port());
    Peer.send(Bytes);
    EXPECT_EQ(A.Refused.next(), "peer_bad_frame");
    EXPECT_TRUE(Peer.waitForEnd());
  }
  EXPECT_EQ(A.Transport->counters().BadFrames, 4u);
}

TEST_F(PeerTransportTest, RefusesAPeerThatStaysSilentInTheHandshake) {
  Node C{"c"};
  C.Options.HandshakeLimit = absl::Milliseconds(100);
  C.start();
  auto Peer = upgrade(C.Transport->port());
  EXPECT_EQ(C.Refused.next(), "peer_stranger");
  EXPECT_TRUE(Peer.waitForEnd());
}

TEST_F(PeerTransportTest, KeepsOneLinkWhenBothDial) {
  for (int Round = 0; Round < 10; ++Round) {
    Node C{"c"};
    Node D{"d"};
    C.start();
    D.start();
    C.Transport->connect(D.address());
    D.Transport->connect(C.address());
    // Both links may come up for a moment; the last one that came up stands.
    PeerId ToD = C.Ups.next().value_or(Connected{}).Id;
    bool Answered = false;
    while (!Answered || C.Links != 1 || D.Links != 1) {
      if (C.Ups.size() > 0)
        ToD = C.Ups.next()->Id;
      C.Transport->call(
          ToD, {"echo", Round}, GenerousTimeout,
          [&](const PeerCallOutcome &Out) { C.Outcomes.put(Out); });
      auto Outcome = C.Outcomes.next();
      ASSERT_TRUE(Outcome.has_value());
      Answered = Outcome->Status == PeerCallStatus::Answered;
    }
  }
}

TEST_F(PeerTransportTest, ANewIncarnationReplacesTheLinkOfTheOldOne) {
  link();
  Node Reborn{"a", {"key"}, 2};
  Reborn.start();
  Reborn.Transport->connect(B.address());
  auto Fresh = B.Ups.next();
  ASSERT_TRUE(Fresh.has_value());
  EXPECT_EQ(Fresh->Peer.Incarnation, 2u);
  EXPECT_EQ(B.Downs.next(), ToA);
  EXPECT_EQ(A.Downs.next(), ToB);
}

TEST_F(PeerTransportTest, DropsALinkWhoseQueueIsFull) {
  Node C{"c"};
  C.Options.MaxQueuedBytes = 1000;
  C.start();
  C.Transport->connect(B.address());
  PeerId Id = C.Ups.next().value_or(Connected{}).Id;
  EXPECT_FALSE(C.Transport->send(Id, {"big", std::string(2000, 'x')}));
  EXPECT_EQ(C.Downs.next(), Id);
  EXPECT_EQ(C.Transport->counters().QueueOverflows, 1u);
}

TEST_F(PeerTransportTest, PingsKeepAnIdleLinkAndSilenceEndsIt) {
  Node C{"c"};
  C.Options.PingAfter = absl::Milliseconds(200);
  C.Options.DeadAfter = absl::Seconds(2);
  C.start();
  C.Transport->connect(B.address());
  auto Up = C.Ups.next();
  ASSERT_TRUE(Up.has_value());
  std::uint64_t Before = C.Transport->counters().BytesIn;
  while (C.Transport->counters().BytesIn < Before + 6)
    std::this_thread::yield();
  EXPECT_EQ(C.Downs.size(), 0u);
  // The peer's thread hangs in a handler, as a paused process would.
  C.Transport->send(Up->Id, {"hang", 1});
  EXPECT_TRUE(C.Downs.next().has_value());
  EXPECT_EQ(C.Transport->counters().DeadLinks, 1u);
  B.Gate.put(1);
}
