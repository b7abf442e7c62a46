#ifndef QUETZALLEAD_CORE_MEMBERSHIP_GOSSIPCODEC_H
#define QUETZALLEAD_CORE_MEMBERSHIP_GOSSIPCODEC_H

#include "absl/strings/string_view.h"
#include "core/membership/GossipMessage.h"
#include "quetzallead/Error.h"
#include "quetzallead/Time.h"
#include <string>

namespace quetzallead {

/// The value of the frame's type field "t" for gossip.
inline constexpr const char *GossipFrameType = "gossip";

/// \p Message as a CBOR frame between instances. Expiries travel as the time
/// that remains at \p Now, since clocks differ.
std::string encodeGossip(const GossipMessage &Message, TimePoint Now);

/// The message in \p Bytes. Fails with InvalidArgument if it is too large,
/// malformed, or breaks a limit of its fields.
Result<GossipMessage> decodeGossip(absl::string_view Bytes, TimePoint Now);

/// Encoded size of one item at most, bytes; for filling a message.
std::size_t encodedBytes(const MemberRecord &Record);
std::size_t encodedBytes(const SheetReport &Report);
std::size_t encodedBytes(const ServerNotice &Notice);
std::size_t encodedBytes(const DepartureNotice &Notice);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_GOSSIPCODEC_H
