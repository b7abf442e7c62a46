#include "transport/peer/PeerCodec.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzallead;
using nlohmann::json;

namespace {

std::string toBytes(const json &Document) {
  std::string Out;
  json::to_cbor(Document, Out);
  return Out;
}

PeerEnvelope makeCall(std::uint64_t CallId) {
  return {PeerFrameKind::Call, CallId, {"query", json{{"rows", {1, 2, 3}}}}};
}

} // namespace

TEST(PeerCodecTest, KeepsKindIdTypeAndBody) {
  for (PeerFrameKind Kind :
       {PeerFrameKind::Message, PeerFrameKind::Call, PeerFrameKind::Answer}) {
    PeerEnvelope In = makeCall(7);
    In.Kind = Kind;
    auto Out = decodePeerEnvelope(encodePeerEnvelope(In));
    ASSERT_TRUE(Out.has_value());
    EXPECT_EQ(Out->Kind, Kind);
    EXPECT_EQ(Out->CallId, Kind == PeerFrameKind::Message ? 0u : 7u);
    EXPECT_EQ(Out->Frame.Type, "query");
    EXPECT_EQ(Out->Frame.Body, In.Frame.Body);
  }
}

TEST(PeerCodecTest, RefusesWhatIsNoEnvelope) {
  for (const json &Bad :
       {json(nullptr), json::array({1}), json{{"t", "x"}}, json{{"b", 1}},
        json{{"t", 1}, {"b", 1}}, json{{"t", "x"}, {"b", 1}, {"c", "id"}},
        json{{"t", "x"}, {"b", 1}, {"c", -1}},
        json{{"t", "x"}, {"b", 1}, {"c", 1}, {"a", 1}}})
    EXPECT_FALSE(decodePeerEnvelope(toBytes(Bad)).has_value()) << Bad;
  EXPECT_FALSE(decodePeerEnvelope("").has_value());
  EXPECT_FALSE(
      decodePeerEnvelope(encodePeerEnvelope(makeCall(1)) + "x").has_value());
}

TEST(PeerCodecTest, RefusesDeepNesting) {
  json Nested = 1;
  for (int I = 0; I < MaxPeerFrameDepth - 1; ++I)
    Nested = json::array({std::move(Nested)});
  PeerEnvelope In = {PeerFrameKind::Message, 0, {"x", Nested}};
  EXPECT_TRUE(decodePeerEnvelope(encodePeerEnvelope(In)).has_value());
  In.Frame.Body = json::array({std::move(Nested)});
  EXPECT_FALSE(decodePeerEnvelope(encodePeerEnvelope(In)).has_value());
  // Opens one array per byte; a parser that recurses freely would overflow.
  EXPECT_FALSE(
      decodePeerEnvelope(std::string(MaxPeerFrameBytes, '\x81')).has_value());
}

RC_GTEST_PROP(PeerCodecTest, AnyBytesAreDecodedOrRefused,
              (const std::vector<std::uint8_t> &Bytes)) {
  std::string Text(Bytes.begin(), Bytes.end());
  auto Out = decodePeerEnvelope(Text);
  if (Out)
    RC_ASSERT(decodePeerEnvelope(encodePeerEnvelope(*Out)).has_value());
}

RC_GTEST_PROP(PeerCodecTest, AnyDamagedEnvelopeIsDecodedOrRefused, ()) {
  std::string Bytes = encodePeerEnvelope(makeCall(99));
  int Changes = *rc::gen::inRange(1, 5);
  for (int I = 0; I < Changes; ++I) {
    auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    Bytes[At] = static_cast<char>(*rc::gen::inRange(0, 256));
  }
  Bytes.resize(*rc::gen::inRange<std::size_t>(0, Bytes.size() + 1));
  auto Out = decodePeerEnvelope(Bytes);
  if (Out)
    RC_ASSERT(decodePeerEnvelope(encodePeerEnvelope(*Out)).has_value());
}
