#include "core/command/Ticket.h"

#include "core/base/Cbor.h"
#include "core/session/SignedText.h"
#include <nlohmann/json.hpp>

namespace quetzallead {
namespace {

using nlohmann::json;

constexpr const char *IssuerField = "issuer";
constexpr const char *IncarnationField = "inc";
constexpr const char *SequenceField = "seq";
constexpr const char *ExpiresField = "exp_ms";

bool isWellFormed(const json &Map) {
  return Map.is_object() && Map.contains(IssuerField) &&
         Map[IssuerField].is_string() && Map.contains(IncarnationField) &&
         Map[IncarnationField].is_number_unsigned() &&
         Map.contains(SequenceField) &&
         Map[SequenceField].is_number_unsigned() &&
         Map.contains(ExpiresField) && Map[ExpiresField].is_number_integer();
}

} // namespace

std::string signTicket(const KeyRing &Keys, const Ticket &T, TimePoint Now) {
  const json Map = {{IssuerField, T.Issuer},
                    {IncarnationField, T.Incarnation},
                    {SequenceField, T.Sequence},
                    {ExpiresField, absl::ToUnixMillis(T.Expires)}};
  return signText(Keys, SignedKind::Ticket, cborOf(Map), Now);
}

Result<Ticket> verifyTicket(const KeyRing &Keys, absl::string_view Text) {
  BOOST_LEAF_AUTO(Payload, verifyText(Keys, SignedKind::Ticket, Text));
  const json Map = parseCbor(Payload);
  if (!isWellFormed(Map))
    return failToken(TokenFault::Malformed, SignedKind::Ticket);
  Ticket T;
  T.Issuer = Map[IssuerField].get<std::string>();
  T.Incarnation = Map[IncarnationField].get<std::uint64_t>();
  T.Sequence = Map[SequenceField].get<std::uint64_t>();
  T.Expires = absl::FromUnixMillis(Map[ExpiresField].get<std::int64_t>());
  return T;
}

} // namespace quetzallead
