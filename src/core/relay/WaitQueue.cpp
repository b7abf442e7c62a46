#include "core/relay/WaitQueue.h"
#include "core/relay/RouteStats.h"
#include <algorithm>

namespace quetzallead {

bool outranks(const AttemptPermitRequest &A, const AttemptPermitRequest &B) {
  if (A.AccountPriority != B.AccountPriority)
    return A.AccountPriority < B.AccountPriority;
  return A.Priority < B.Priority;
}

bool WaitQueue::goesBefore(const WaitingAttempt &New,
                           const WaitingAttempt &Old) const {
  if (outranks(New.Request, Old.Request) || outranks(Old.Request, New.Request))
    return outranks(New.Request, Old.Request);
  if (New.Turn != Old.Turn)
    return New.Turn < Old.Turn;
  if (New.Request.Decisive != Old.Request.Decisive)
    return New.Request.Decisive;
  switch (Order) {
  case QueueOrder::OldestFirst:
    return false;
  case QueueOrder::NewestFirst:
    return true;
  case QueueOrder::EarliestDeadlineFirst:
    return New.Request.ObjectiveDeadline < Old.Request.ObjectiveDeadline;
  }
  return false;
}

std::size_t WaitQueue::waitingOf(const AttemptPermitRequest &Request) const {
  return static_cast<std::size_t>(std::count_if(
      Waiting.begin(), Waiting.end(), [&](const WaitingAttempt &W) {
        return W.Request.Account == Request.Account;
      }));
}

std::optional<WaitingAttempt>
WaitQueue::displaceFor(const AttemptPermitRequest &New) {
  if (Waiting.empty())
    return std::nullopt;
  const AttemptPermitRequest &Last = Waiting.back().Request;
  const bool SameRank = !outranks(New, Last) && !outranks(Last, New);
  const bool FewerWaiting = SameRank && waitingOf(New) + 1 < waitingOf(Last);
  if (!outranks(New, Last) && !FewerWaiting)
    return std::nullopt;
  ++Displaced;
  return takeOut(Waiting.size() - 1);
}

std::uint64_t WaitQueue::add(AttemptPermitRequest Request,
                             AttemptPermitCallback Notify) {
  WaitingAttempt New;
  New.Id = NextId++;
  // Requests without an account share one turn, so that Order decides.
  if (!Request.Account.empty()) {
    double &Next = NextTurn[Request.Account];
    New.Turn = std::max(Next, Served);
    Next = New.Turn + (Request.Stats != nullptr
                           ? absl::ToDoubleSeconds(Request.Stats->expected())
                           : 1);
  }
  New.Request = std::move(Request);
  New.Notify = std::move(Notify);
  auto Position =
      std::find_if(Waiting.begin(), Waiting.end(),
                   [&](const WaitingAttempt &W) { return goesBefore(New, W); });
  const std::uint64_t Id = New.Id;
  Waiting.insert(Position, std::move(New));
  return Id;
}

void WaitQueue::cancel(std::uint64_t Id) {
  auto Found =
      std::find_if(Waiting.begin(), Waiting.end(),
                   [&](const WaitingAttempt &W) { return W.Id == Id; });
  if (Found != Waiting.end())
    takeOut(static_cast<std::size_t>(Found - Waiting.begin()));
}

WaitingAttempt WaitQueue::takeOut(std::size_t Index) {
  WaitingAttempt Taken = std::move(Waiting[Index]);
  Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(Index));
  // An account without waiting attempts starts anew with its next one.
  if (!Taken.Request.Account.empty() && waitingOf(Taken.Request) == 0)
    NextTurn.erase(Taken.Request.Account);
  return Taken;
}

WaitingAttempt WaitQueue::serve(std::size_t Index) {
  Served = std::max(Served, Waiting[Index].Turn);
  return takeOut(Index);
}

std::optional<WaitingAttempt> WaitQueue::takeExpired(TimePoint Now) {
  for (std::size_t I = 0; I < Waiting.size(); ++I)
    if (Waiting[I].Request.LatestStart < Now)
      return takeOut(I);
  return std::nullopt;
}

std::size_t WaitQueue::countAhead(const AttemptPermitRequest &Request) const {
  return static_cast<std::size_t>(std::count_if(
      Waiting.begin(), Waiting.end(),
      [&](const WaitingAttempt &W) { return !outranks(Request, W.Request); }));
}

} // namespace quetzallead
