#include "load/SessionPool.h"
#include <utility>

namespace quetzallead {

CallerSession SessionPool::take(std::size_t Index, bool WithTicket) {
  PosixMutexLock Guard(&Lock);
  CallerSession &Session = Sessions[Index];
  CallerSession Copy = Session;
  if (WithTicket)
    Session.Ticket.clear();
  else
    Copy.Ticket.clear();
  return Copy;
}

void SessionPool::update(std::size_t Index, CallerSession Next) {
  PosixMutexLock Guard(&Lock);
  CallerSession &Session = Sessions[Index];
  if (Next.Ticket.empty())
    Next.Ticket = std::move(Session.Ticket);
  Session = std::move(Next);
}

} // namespace quetzallead
