#ifndef QUETZALLEAD_CORE_MEMBERSHIP_GOSSIPSYNC_H
#define QUETZALLEAD_CORE_MEMBERSHIP_GOSSIPSYNC_H

#include "core/membership/GossipMessage.h"
#include <cstddef>

namespace quetzallead {

class MemberTable;
class NoticeBoard;

/// Adds the digests of all buckets to a SyncRequest.
void addDigests(GossipMessage &Request, const MemberTable &Members,
                const NoticeBoard &Notices);

/// Adds to \p Answer all that is known in the buckets that differ from those of
/// \p Request, beginning with bucket \p First, up to \p MaxBytes; the buckets
/// sent are named. False if none differs.
bool addDifferingBuckets(GossipMessage &Answer, const GossipMessage &Request,
                         const MemberTable &Members, const NoticeBoard &Notices,
                         std::size_t First, std::size_t MaxBytes);

/// Adds to \p Answer what is known in the buckets of \p Sync and is newer than
/// what \p Sync says, up to \p MaxBytes. False if there is nothing.
bool addNewerThan(GossipMessage &Answer, const GossipMessage &Sync,
                  const MemberTable &Members, const NoticeBoard &Notices,
                  std::size_t MaxBytes);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_GOSSIPSYNC_H
