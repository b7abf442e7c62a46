#ifndef QUETZALLEAD_CORE_MEMBERSHIP_RENDEZVOUS_H
#define QUETZALLEAD_CORE_MEMBERSHIP_RENDEZVOUS_H

#include "absl/strings/string_view.h"
#include <cstdint>

namespace quetzallead {

/// Weight of \p Member for \p Duty in rendezvous hashing; the member with the
/// greatest weight ranks first.
std::uint64_t rendezvousWeight(absl::string_view Duty,
                               absl::string_view Member);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_RENDEZVOUS_H
