#include "transport/peer/PeerCodec.h"
#include <vector>

namespace quetzallead {
namespace {

using nlohmann::json;

constexpr const char *TypeKey = "t";
constexpr const char *BodyKey = "b";
constexpr const char *CallKey = "c";
constexpr const char *AnswerKey = "a";

/// Accepts any document up to the allowed depth. Runs before the document is
/// built, because the library's parser recurses once per level.
class DepthCheck : public nlohmann::json_sax<json> {
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool key(string_t &) override { return true; }
  bool start_object(std::size_t) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  bool enter() { return ++Depth <= MaxPeerFrameDepth; }
  bool leave() {
    --Depth;
    return true;
  }

  int Depth = 0;
};

bool isWellFormed(absl::string_view Bytes) {
  DepthCheck Check;
  return json::sax_parse(Bytes.begin(), Bytes.end(), &Check,
                         json::input_format_t::cbor);
}

bool readCallId(const json &Document, const char *Key, PeerFrameKind Kind,
                PeerEnvelope &Out) {
  auto Found = Document.find(Key);
  if (Found == Document.end())
    return true;
  if (!Found->is_number_unsigned() || Out.Kind != PeerFrameKind::Message)
    return false;
  Out.Kind = Kind;
  Out.CallId = Found->get<std::uint64_t>();
  return true;
}

} // namespace

std::string encodePeerEnvelope(const PeerEnvelope &Envelope) {
  json Document = json::object();
  Document[TypeKey] = Envelope.Frame.Type;
  Document[BodyKey] = Envelope.Frame.Body;
  if (Envelope.Kind == PeerFrameKind::Call)
    Document[CallKey] = Envelope.CallId;
  if (Envelope.Kind == PeerFrameKind::Answer)
    Document[AnswerKey] = Envelope.CallId;
  std::string Out;
  json::to_cbor(Document, Out);
  return Out;
}

std::optional<PeerEnvelope> decodePeerEnvelope(absl::string_view Bytes) {
  if (!isWellFormed(Bytes))
    return std::nullopt;
  json Document = json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
  if (!Document.is_object())
    return std::nullopt;
  auto Type = Document.find(TypeKey);
  auto Body = Document.find(BodyKey);
  if (Type == Document.end() || !Type->is_string() || Body == Document.end())
    return std::nullopt;
  PeerEnvelope Out;
  Out.Frame.Type = Type->get<std::string>();
  Out.Frame.Body = std::move(*Body);
  if (!readCallId(Document, CallKey, PeerFrameKind::Call, Out) ||
      !readCallId(Document, AnswerKey, PeerFrameKind::Answer, Out))
    return std::nullopt;
  return Out;
}

} // namespace quetzallead
