#ifndef QUETZALLEAD_CORE_RELAY_MEMORYUSE_H
#define QUETZALLEAD_CORE_RELAY_MEMORYUSE_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// What bytes are held for.
enum class MemoryUse {
  AbandonedAnswer, ///< The answer of a server that no caller waits for.
  Answer,          ///< The answer of a server that is being received.
  CallerBody,      ///< A request that is being received.
  UnreadResponse,  ///< A response that the peer has not read yet.
  Request,         ///< A request that is being served.
  Internal,        ///< A message of the store.
};

inline constexpr NamedValue<MemoryUse> MemoryUseNames[] = {
    {MemoryUse::AbandonedAnswer, "abandoned_answer"},
    {MemoryUse::Answer, "answer"},
    {MemoryUse::CallerBody, "caller_body"},
    {MemoryUse::UnreadResponse, "unread_response"},
    {MemoryUse::Request, "request"},
    {MemoryUse::Internal, "internal"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_MEMORYUSE_H
