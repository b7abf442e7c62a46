#include "transport/peer/PeerHandshake.h"
#include <array>
#include <cstdint>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace quetzallead {
namespace {

using nlohmann::json;

constexpr const char *ProtocolName = "quetzallead-peer-1";
constexpr const char *HelloType = "hello";
constexpr const char *ChallengeType = "challenge";
constexpr const char *ProofType = "proof";
constexpr std::size_t NonceBytes = 32;
/// Longest name or address of a peer, bytes.
constexpr std::size_t MaxNameBytes = 255;

using ByteVector = std::vector<std::uint8_t>;

std::string makeNonce() {
  std::array<unsigned char, NonceBytes> Raw = {};
  if (RAND_bytes(Raw.data(), Raw.size()) != 1)
    std::abort();
  return std::string(Raw.begin(), Raw.end());
}

std::string hmacSha256(const std::string &Key, const std::string &Message) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Raw = {};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Message.data()), Message.size(),
       Raw.data(), &Size);
  return std::string(Raw.begin(), Raw.begin() + Size);
}

bool equalInConstantTime(const std::string &A, const std::string &B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

json bytesToJson(const std::string &Bytes) {
  return json::binary(ByteVector(Bytes.begin(), Bytes.end()));
}

std::optional<std::string> readBytes(const json &Body, const char *Key) {
  auto Found = Body.find(Key);
  if (Found == Body.end() || !Found->is_binary())
    return std::nullopt;
  const ByteVector &Raw = Found->get_binary();
  return std::string(Raw.begin(), Raw.end());
}

bool readName(const json &Body, const char *Key, std::string &Out) {
  auto Found = Body.find(Key);
  if (Found == Body.end() || !Found->is_string())
    return false;
  Out = Found->get<std::string>();
  return !Out.empty() && Out.size() <= MaxNameBytes;
}

json identityToJson(const PeerIdentity &Identity) {
  return json{{"instance", Identity.Instance},
              {"zone", Identity.Zone},
              {"incarnation", Identity.Incarnation},
              {"address", Identity.Address}};
}

bool readIdentity(const json &Body, PeerIdentity &Out) {
  auto Incarnation = Body.find("incarnation");
  if (Incarnation == Body.end() || !Incarnation->is_number_unsigned())
    return false;
  Out.Incarnation = Incarnation->get<std::uint64_t>();
  return readName(Body, "instance", Out.Instance) &&
         readName(Body, "zone", Out.Zone) &&
         readName(Body, "address", Out.Address);
}

} // namespace

PeerHandshake::PeerHandshake(PeerIdentity Own,
                             std::vector<std::string> SharedKeys,
                             bool IsDialler)
    : Self(std::move(Own)), Keys(std::move(SharedKeys)), Dialler(IsDialler),
      Nonce(makeNonce()) {}

PeerHandshake PeerHandshake::dial(PeerIdentity Self,
                                  std::vector<std::string> Keys) {
  return PeerHandshake(std::move(Self), std::move(Keys), true);
}

PeerHandshake PeerHandshake::accept(PeerIdentity Self,
                                    std::vector<std::string> Keys) {
  return PeerHandshake(std::move(Self), std::move(Keys), false);
}

PeerFrame PeerHandshake::hello() const {
  json Body = identityToJson(Self);
  Body["nonce"] = bytesToJson(Nonce);
  return PeerFrame{HelloType, std::move(Body)};
}

std::optional<PeerFrame> PeerHandshake::receive(const PeerFrame &Frame) {
  if (Current != State::Running || !Frame.Body.is_object()) {
    failWith("unexpected frame");
    return std::nullopt;
  }
  bool PeerKnown = !PeerNonce.empty();
  if (!Dialler && !PeerKnown && Frame.Type == HelloType)
    return receiveHello(Frame);
  if (Dialler && Frame.Type == ChallengeType)
    return receiveChallenge(Frame);
  if (!Dialler && PeerKnown && Frame.Type == ProofType)
    receiveProof(Frame);
  else
    failWith("unexpected frame");
  return std::nullopt;
}

std::optional<PeerFrame> PeerHandshake::receiveHello(const PeerFrame &Frame) {
  if (!readPeer(Frame))
    return std::nullopt;
  json Body = identityToJson(Self);
  Body["nonce"] = bytesToJson(Nonce);
  Body["proof"] = bytesToJson(prove());
  return PeerFrame{ChallengeType, std::move(Body)};
}

std::optional<PeerFrame>
PeerHandshake::receiveChallenge(const PeerFrame &Frame) {
  if (!readPeer(Frame) || !verify(Frame))
    return std::nullopt;
  Current = State::Done;
  return PeerFrame{ProofType, json{{"proof", bytesToJson(prove())}}};
}

void PeerHandshake::receiveProof(const PeerFrame &Frame) {
  if (verify(Frame))
    Current = State::Done;
}

bool PeerHandshake::readPeer(const PeerFrame &Frame) {
  std::optional<std::string> Received = readBytes(Frame.Body, "nonce");
  if (!Received || Received->size() != NonceBytes ||
      !readIdentity(Frame.Body, Peer)) {
    failWith("malformed handshake");
    return false;
  }
  if (Peer.Instance == Self.Instance || *Received == Nonce) {
    failWith("the peer claims this instance's own name");
    return false;
  }
  PeerNonce = std::move(*Received);
  return true;
}

std::string PeerHandshake::transcript(bool DiallersProof) const {
  const PeerIdentity &DiallerIdentity = Dialler ? Self : Peer;
  const PeerIdentity &AcceptorIdentity = Dialler ? Peer : Self;
  json Parts = json::array(
      {ProtocolName, DiallersProof ? "dialler" : "acceptor",
       identityToJson(DiallerIdentity), identityToJson(AcceptorIdentity),
       bytesToJson(Dialler ? Nonce : PeerNonce),
       bytesToJson(Dialler ? PeerNonce : Nonce)});
  std::string Out;
  json::to_cbor(Parts, Out);
  return Out;
}

std::string PeerHandshake::prove() const {
  return hmacSha256(Keys.front(), transcript(Dialler));
}

bool PeerHandshake::verify(const PeerFrame &Frame) {
  std::optional<std::string> Proof = readBytes(Frame.Body, "proof");
  std::string Expected = transcript(!Dialler);
  if (Proof)
    for (const std::string &Key : Keys)
      if (equalInConstantTime(*Proof, hmacSha256(Key, Expected)))
        return true;
  failWith("the peer has no accepted key");
  return false;
}

void PeerHandshake::failWith(std::string Reason) {
  Current = State::Failed;
  Defect = std::move(Reason);
}

} // namespace quetzallead
