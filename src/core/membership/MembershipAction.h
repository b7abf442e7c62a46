#ifndef QUETZALLEAD_CORE_MEMBERSHIP_MEMBERSHIPACTION_H
#define QUETZALLEAD_CORE_MEMBERSHIP_MEMBERSHIPACTION_H

#include "core/membership/GossipMessage.h"
#include "core/membership/MemberRecord.h"
#include "core/membership/ServerNotice.h"
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace quetzallead {

/// Send the message to the peer; if that fails, it is as if it was lost.
struct SendGossip {
  std::string To;
  std::string Address;
  GossipMessage Message;
};

/// The view of an instance has changed.
struct MemberChanged {
  MemberRecord Record;
};

/// What holds of a backend server has changed. Back holds too when a notice has
/// expired.
struct ServerNoticeChanged {
  ServerNotice Notice;
};

/// Another process goes by this instance's name with a greater incarnation;
/// this one has to stop.
struct Superseded {
  std::uint64_t ByIncarnation = 0;
};

using MembershipAction =
    std::variant<SendGossip, MemberChanged, ServerNoticeChanged, Superseded>;
using MembershipActions = std::vector<MembershipAction>;

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_MEMBERSHIPACTION_H
