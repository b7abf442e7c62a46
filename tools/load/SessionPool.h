#ifndef QUETZALLEAD_LOAD_SESSIONPOOL_H
#define QUETZALLEAD_LOAD_SESSIONPOOL_H

#include "load/CallerSession.h"
#include "quetzallead/PosixMutex.h"
#include <cstddef>
#include <vector>

namespace quetzallead {

/// The sessions of a run, shared by all threads of the driver. A session may
/// have several requests in flight; its last answer's token is sent next.
class SessionPool {
public:
  explicit SessionPool(std::size_t Count) : Sessions(Count) {}

  /// A copy of session \p Index, with its ticket taken out if \p WithTicket.
  CallerSession take(std::size_t Index, bool WithTicket);
  /// Replaces token, seen versions and, if \p Next holds one, ticket.
  void update(std::size_t Index, CallerSession Next);
  std::size_t size() const { return Sessions.size(); }

private:
  PosixMutex Lock;
  std::vector<CallerSession> Sessions;
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_SESSIONPOOL_H
